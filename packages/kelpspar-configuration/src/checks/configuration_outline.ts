import { z } from "zod";

const textOutline = z.string().nullable().catch(null);
const numberOutline = z.number().nullable().catch(null);

/** A list of objects; an element that is not an object becomes null. */
function listOf<Shape extends z.ZodRawShape>(
  shape: Shape,
): z.ZodCatch<
  z.ZodNullable<
    z.ZodArray<z.ZodCatch<z.ZodNullable<z.ZodObject<Shape>>>>
  >
> {
  const element = z.object(shape).nullable().catch(null);
  return z.array(element).nullable().catch(null);
}

const namesOutline = z.array(textOutline).nullable().catch(null);

const outlineSchema = z.object({
  accounts: listOf({
    id: textOutline,
    share: numberOutline,
    callerKeyHashes: namesOutline,
  }),
  operators: listOf({ id: textOutline, keyHash: textOutline }),
  models: z.preprocess(
    (models) => models === undefined ? [] : models,
    listOf({
      id: textOutline,
      adapters: namesOutline,
      minimumReady: numberOutline,
    }),
  ),
  services: listOf({
    id: textOutline,
    kind: textOutline,
    models: namesOutline,
  }),
  pipelines: listOf({
    id: textOutline,
    stages: listOf({
      id: textOutline,
      service: textOutline,
      model: textOutline,
      adapter: textOutline,
    }),
    accounts: listOf({ account: textOutline }),
  }),
});

/**
 * The parts of a possibly invalid configuration that the cross-checks read. A
 * value that is missing or of the wrong type is null. This allows one run to
 * report the errors of both the schema and the cross-checks.
 */
export type ConfigurationOutline = z.infer<typeof outlineSchema>;

/** A readable element of one of the outline's lists. */
export type OutlineElement<List extends keyof ConfigurationOutline> = ElementOf<
  ConfigurationOutline[List]
>;

/** A readable stage of the outline. */
export type StageOutline = ElementOf<OutlineElement<"pipelines">["stages"]>;

type ElementOf<List extends readonly unknown[] | null> = NonNullable<
  NonNullable<List>[number]
>;

const EMPTY_OUTLINE: ConfigurationOutline = {
  accounts: null,
  operators: null,
  models: null,
  services: null,
  pipelines: null,
};

/** Reads the outline of any value; never throws. */
export function outlineConfiguration(value: unknown): ConfigurationOutline {
  const parsed = outlineSchema.safeParse(value);
  return parsed.success ? parsed.data : EMPTY_OUTLINE;
}
