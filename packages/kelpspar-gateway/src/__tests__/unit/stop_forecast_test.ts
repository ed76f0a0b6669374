import type { StopForecastOptions } from "../../lifecycle/stop_forecast.ts";
import { expect } from "earl";
import { test } from "node:test";
import { forecastRetry } from "../../lifecycle/stop_forecast.ts";

const ALL_STOP: StopForecastOptions = {
  isOtherServing: false,
  isOtherStarting: false,
  othersEndIn: [5_000, 6_000],
  endsIn: 4_000,
  neededMilliseconds: 6_000,
};

// Guards against callers that wait although another daemon serves.
test("a refused request is sent elsewhere soon if another daemon serves", () => {
  expect(forecastRetry({ ...ALL_STOP, isOtherServing: true }) <= 250).toEqual(
    true,
  );
  expect(forecastRetry({ ...ALL_STOP, neededMilliseconds: 300 }) <= 250)
    .toEqual(true);
});

// Guards against callers that come back to daemons which are about to end.
test("a refused request waits for the first daemon to start again", () => {
  expect(forecastRetry(ALL_STOP) > 4_000).toEqual(true);
  expect(forecastRetry({ ...ALL_STOP, isOtherStarting: true }) <= 1_000)
    .toEqual(true);
});
