import fc from "fast-check";
import { arbitraryCallerRequests, arbitraryOperatorRequests, writeRequest } from "../support/arbitrary_requests.ts";
import { exchangeBytes } from "../support/http_exchange.ts";
import { startTestDaemon } from "../support/test_daemon.ts";
const site = await startTestDaemon();
for (const a of [arbitraryCallerRequests, arbitraryOperatorRequests]) {
 const counts: Record<string, number> = {};
 for (const r of fc.sample(a as any, {numRuns: 3000, seed: Number(process.argv[2] ?? 1)}) as any[]) {
  const ans = await exchangeBytes(site.port, writeRequest(r));
  const m = /"result":"(\w+)"/.exec(ans.text)?.[1] ?? (ans.text.includes('"end"')?"end":"");
  const k = `${ans.status} ${m}`; counts[k]=(counts[k]??0)+1;
  if (ans.status===0|| m==="internal_error" || (ans.status!==200 && m==="" && r.method!=="HEAD")) console.log(JSON.stringify(r), ans);
 }
 console.log(counts);
}
console.log(site.ports.log.errors.slice(0,5));
await site.daemon.stop();
