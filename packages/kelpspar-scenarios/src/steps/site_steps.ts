import type { StepTable } from "../language/step_definition.ts";

/** Steps that build the site and advance time. */
export const SITE_STEPS: StepTable = {
  "a site with {daemons:number} daemons, {engines:number} engines and {plain:number} endpoints of each other service":
    {
      meaning:
        "Builds the site, puts its configuration in force as revision 1 and lets 3 s pass",
      handler: (world, values) =>
        world.build({
          daemons: values.number("daemons"),
          engines: values.number("engines"),
          plain: values.number("plain"),
        }),
    },
  "{time:duration} pass": {
    meaning: "Lets time pass and carries out what was planned for it",
    handler: (world, values) => world.advance(values.milliseconds("time")),
  },
  "{time:duration} passes": {
    meaning: "The same, of one second or minute",
    handler: (world, values) => world.advance(values.milliseconds("time")),
  },
};
