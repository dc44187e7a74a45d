/** The definition of a scenario: a fleet, its engines' properties and the requests it gets. */
import { z } from 'zod';
import { workloadSchema } from '../workload/index.js';

/** A scenario as defined in its YAML file. */
export const scenarioSchema = z
  .strictObject({
    /** What happens in the scenario, for readers of reports. */
    about: z.string().min(1),
    /** The path of the fleet's file, relative to the scenario's file. */
    fleet: z.string().endsWith('.yaml'),
    /** Properties that all engines have in this scenario, in place of the fleet's values. */
    engines: z
      .strictObject({
        speedFactor: z.number().positive().optional(),
        maxBatch: z.int().positive().optional(),
        roleChangeMs: z.int().min(0).optional(),
      })
      .prefault({}),
    /** Number of lasting changes of the request mix; the budget is two role changes per shift. */
    shifts: z.int().min(0),
    /** The requests. The simulation supports only requests to models. */
    workload: workloadSchema,
  })
  .superRefine(({ workload }, context) => {
    workload.sources.forEach((source, index) => {
      if (source.kind === 'model') return;
      const message = 'write model: the simulation has no web backends';
      context.addIssue({ code: 'custom', message, path: ['workload', 'sources', index, 'kind'] });
    });
  });

/** A scenario without the files it names. */
export type ScenarioDefinition = z.infer<typeof scenarioSchema>;
