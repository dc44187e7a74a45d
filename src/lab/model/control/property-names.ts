/** The names of the control model's properties. */
export const CONTROL_PROPERTIES = {
  conflicting: '1 conflicting orders',
  deposed: '2 orders of a deposed process',
  cut: '3 request cut by a planned change',
  dispatch: '7 new work for an engine that was taken away',
} as const;
