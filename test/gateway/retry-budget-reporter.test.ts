/** What the log and the figures say of retry budgets: enough to add up all repeats of a span. */
import assert from 'node:assert/strict';
import { test } from 'node:test';
import { GATEWAY_EVENTS } from '../../src/core/logging/catalogue/gateway.js';
import type { LogEvent, LogFields } from '../../src/core/logging/log-event.js';
import { FleetView } from '../../src/shell/gateway/fleet-view.js';
import { GatewayMetrics } from '../../src/shell/gateway/gateway-metrics.js';
import { RetryBudgetReporter } from '../../src/shell/gateway/retry-budget-reporter.js';
import { ManualTimers } from './support/manual-timers.js';

const OPTIONS = { ratio: 0.5, slack: 240 };

function setUp() {
  const timers = new ManualTimers();
  const metrics = new GatewayMetrics();
  const lines: { readonly event: LogEvent; readonly fields: LogFields }[] = [];
  const fleet: FleetView = new FleetView(OPTIONS, (service, budget) =>
    reporter.recordBudgetCreated(service, budget),
  );
  const log = {
    write: (event: LogEvent, fields: LogFields = {}) => void lines.push({ event, fields }),
  };
  const reporter = new RetryBudgetReporter({ fleet, timers, log, metrics });
  const fieldsOf = (event: LogEvent) =>
    lines.filter((line) => line.event.number === event.number).map(({ fields }) => fields);
  return { timers, metrics, fleet, reporter, fieldsOf };
}

test('repeats are reported each second, as they came since the last report', () => {
  const { timers, fleet, reporter, fieldsOf } = setUp();
  fleet.setDaemonCount(1);
  fleet.setDaemonCount(1);
  reporter.start();
  const budget = fleet.budgetOf('m');
  for (let request = 0; request < 10; request += 1) budget.countRequest();
  assert.ok(budget.tryTake() && budget.tryTake());
  budget.giveBack();
  timers.advance(1_000);
  budget.countRequest();
  timers.advance(1_000);
  while (budget.tryTake());
  timers.advance(1_000);
  const [first, second] = fieldsOf(GATEWAY_EVENTS.retryBudgetUsed);
  assert.deepEqual(
    { requests: first?.requests, taken: first?.taken, givenBack: first?.givenBack },
    { requests: 10, taken: 2, givenBack: 1 },
  );
  assert.deepEqual(
    { requests: second?.requests, denied: second?.denied },
    { requests: 1, denied: 1 },
  );
  assert.equal(fieldsOf(GATEWAY_EVENTS.retryBudgetUsed).length, 2, 'a second without repeats');
});

test('a budget begun before the list of daemons was read says so', () => {
  const { fleet, reporter, fieldsOf } = setUp();
  fleet.budgetOf('m');
  reporter.recordDaemonCount(fleet.size.listed, 59);
  fleet.setDaemonCount(59);
  fleet.setDaemonCount(59);
  reporter.recordDaemonCount(fleet.size.listed, 59);
  fleet.budgetOf('n');
  assert.deepEqual(
    fieldsOf(GATEWAY_EVENTS.retryBudgetBegun).map(({ service, daemons }) => [service, daemons]),
    [
      ['m', 0],
      ['n', 59],
    ],
  );
  const [change, ...others] = fieldsOf(GATEWAY_EVENTS.fleetSizeChanged);
  assert.deepEqual(
    { before: change?.before, daemons: change?.daemons },
    { before: 0, daemons: 59 },
  );
  assert.deepEqual(others, [], 'the same number again is no change');
});

test('the figures have the same counts, and the level', async () => {
  const { fleet, reporter, metrics } = setUp();
  const budget = fleet.budgetOf('m');
  for (let request = 0; request < 10; request += 1) budget.countRequest();
  assert.ok(budget.tryTake());
  reporter.stop();
  const text = await metrics.text();
  assert.match(text, /retry_budget_total\{service="m",what="requests"\} 10\n/);
  assert.match(text, /retry_budget_total\{service="m",what="taken"\} 1\n/);
  assert.match(text, /retry_budget_level\{service="m"\} \d/);
});
