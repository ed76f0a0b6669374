import { renderMeasurements } from "../capacity/render_measurements.ts";
import { runCapacity } from "../capacity/run_capacity.ts";
import { printLine, printText } from "./read_settings.ts";

const measurements = runCapacity((measurement) =>
  printLine({ ...measurement })
);
printText("");
printText(renderMeasurements(measurements));
