// Exports the parts of prom-client that the daemon uses. The package's entry
// point also loads default metrics, summaries and the metrics of clusters, and
// with them OpenTelemetry and Node's cluster and child_process modules.
"use strict";

const Registry = require("prom-client/lib/registry");
const Counter = require("prom-client/lib/counter");
const Gauge = require("prom-client/lib/gauge");
const Histogram = require("prom-client/lib/histogram");

module.exports = { Registry, Counter, Gauge, Histogram };
