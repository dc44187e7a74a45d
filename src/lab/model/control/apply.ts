/**
 * Applies the steps of the control model.
 */
import type { OrderAnswer } from '../../../core/orders/index.js';
import {
  finishOrder,
  handleOrder,
  orderState,
  reportOf,
  runningOrder,
  startedEngine,
} from '../engine.js';
import type { Outcome } from '../explorer.js';
import { Draft } from './draft.js';
import { checkAcceptedOrder, checkDispatch, checkWorld } from './properties.js';
import type { ControlStep } from './steps.js';
import {
  type ControlWorld,
  clockOf,
  type Message,
  type Protections,
  startedDaemon,
  TICK_MS,
} from './world.js';

/** How many intents one epoch may begin; bounds the state space. */
const MAX_INTENTS_PER_EPOCH = 2;

/** Applies a step. Null when the step has a table fault but made no table call. */
export function applyStep(
  world: ControlWorld,
  step: ControlStep,
  protections: Protections,
): Outcome<ControlWorld> | null {
  const fault = step.kind === 'turn' || step.kind === 'deliver' ? step.fault : 'none';
  const draft = new Draft(world, protections, fault);
  if (fault === 'late-call') draft.spend('lateTableCalls');
  if (fault === 'slow-answer') draft.spend('slowTableAnswers');
  performStep(draft, step, protections);
  if (!draft.isFaultSpent || exceedsScope(draft.world)) return null;
  checkWorld(draft);
  return { world: draft.world, violations: draft.violations };
}

/** Whether a world lies outside the model's scope: an epoch has begun too many intents. */
function exceedsScope(world: ControlWorld): boolean {
  return world.daemons.some((daemon) => daemon.controller.intents > MAX_INTENTS_PER_EPOCH);
}

function performStep(draft: Draft, step: ControlStep, protections: Protections): void {
  const { world } = draft;
  switch (step.kind) {
    case 'advance':
      advance(draft, step.laggard);
      return;
    case 'turn':
      if (step.polls) pollFor(draft, step.daemon);
      draft.setDaemon(step.daemon, { due: false });
      draft.turn(step.daemon);
      return;
    case 'deliver':
      deliver(draft, step.message, step.mode, protections);
      return;
    case 'give-up':
      giveUp(draft, step.message);
      return;
    case 'pause':
      draft.spend('pauses');
      draft.setDaemon(step.daemon, { status: 'paused' });
      return;
    case 'wake':
      draft.setDaemon(step.daemon, { status: 'live', due: true });
      return;
    case 'kill':
      kill(draft, step.daemon);
      return;
    case 'restart': {
      draft.spend('restarts');
      const { name, incarnation, lag } = draft.daemon(step.daemon);
      draft.setDaemon(step.daemon, startedDaemon(name, incarnation + 1, lag, protections));
      return;
    }
    case 'store-down':
      draft.spend('storeOutages');
      draft.setDaemon(step.daemon, { storeDown: true });
      return;
    case 'store-up':
      draft.setDaemon(step.daemon, { storeDown: false });
      return;
    case 'poll': {
      const { dispatcher } = world;
      const requestedAt = clockOf(world, dispatcher);
      world.dispatcher = { ...dispatcher, report: reportOf(world.engine), requestedAt };
      return;
    }
    case 'dispatch':
      draft.spend('requests');
      checkDispatch(draft);
      draft.addMessage({ kind: 'request', late: false });
      return;
    case 'finish-request':
      world.engine = { ...world.engine, active: world.engine.active - 1 };
      return;
    case 'finish-order':
      if (step.state === 'failed') draft.spend('failedOrders');
      world.engine = finishOrder(world.engine, step.state);
      return;
    case 'crash-engine':
      draft.spend('engineCrashes');
      world.engine = startedEngine(world.engine.name, world.engine.boot + 1, world.engine.models);
      world.highestEpoch = 0;
      return;
    case 'reverse-role':
      draft.spend('reversals');
      world.desiredRole = 'mixed';
      return;
  }
}

function advance(draft: Draft, laggard: number | 'dispatcher' | null): void {
  const { world } = draft;
  if (laggard !== null) draft.spend(laggard === 'dispatcher' ? 'dispatcherLags' : 'clockLags');
  world.now += TICK_MS;
  world.daemons = world.daemons.map((daemon, index) => {
    const lag = index === laggard ? daemon.lag + 1 : daemon.lag;
    return { ...daemon, lag, due: true };
  });
  if (laggard !== 'dispatcher') return;
  world.dispatcher = { ...world.dispatcher, lag: world.dispatcher.lag + 1 };
}

function pollFor(draft: Draft, index: number): void {
  const requestedAt = clockOf(draft.world, draft.daemon(index));
  draft.setDaemon(index, { report: reportOf(draft.world.engine), requestedAt });
}

/**
 * Kills a daemon. Its orders and table calls stay in flight as late messages; its queries and all
 * answers to it are dropped, as nobody waits for them.
 */
function kill(draft: Draft, index: number): void {
  draft.spend('kills');
  draft.setDaemon(index, { status: 'dead', due: false, storeDown: false });
  draft.world.messages = draft.world.messages.flatMap((message): Message[] => {
    if (message.kind === 'request' || message.from.daemon !== index) return [message];
    if (message.kind === 'order' && !message.late) return [{ ...message, late: true }];
    return message.kind === 'order' || message.kind === 'table-call' ? [message] : [];
  });
}

/** The sender times out on a message; an order or a request may still arrive. */
function giveUp(draft: Draft, message: Message): void {
  draft.spend('lateMessages');
  draft.removeMessage(message);
  if (message.kind === 'order') {
    draft.addMessage({ ...message, late: true });
    answerOrder(draft, message, { kind: 'lost', reason: 'timeout' });
    return;
  }
  if (message.kind === 'order-answer') {
    answerOrder(draft, message, { kind: 'lost', reason: 'timeout' });
    return;
  }
  if (message.kind === 'query' || message.kind === 'query-answer') {
    answerQuery(draft, message, 'lost');
  }
  if (message.kind === 'request') draft.addMessage({ ...message, late: true });
}

function deliver(
  draft: Draft,
  message: Message,
  mode: 'once' | 'and-keep-a-copy',
  protections: Protections,
): void {
  draft.removeMessage(message);
  switch (message.kind) {
    case 'table-call':
      draft.callTable(message.call);
      return;
    case 'table-answer':
      draft.answerTable(message.from.daemon, message.token, message.result);
      return;
    case 'order':
      if (mode === 'and-keep-a-copy') {
        draft.spend('duplicates');
        draft.addMessage({ ...message, late: true });
      }
      deliverOrder(draft, message, protections);
      return;
    case 'order-answer':
      answerOrder(draft, message, message.answer);
      return;
    case 'query': {
      const state = orderState(draft.world.engine, message.orderId);
      if (isAwaited(draft, message)) draft.addMessage({ ...message, kind: 'query-answer', state });
      return;
    }
    case 'query-answer':
      answerQuery(draft, message, message.state);
      return;
    case 'request':
      deliverRequest(draft);
      return;
  }
}

function deliverOrder(
  draft: Draft,
  message: Extract<Message, { kind: 'order' }>,
  protections: Protections,
): void {
  const before = draft.world.engine;
  const { engine, answer } = handleOrder(before, message.order, { fences: protections.fences });
  draft.world.engine = engine;
  if (answer.kind === 'accepted') checkAcceptedOrder(draft, before, message.order);
  if (!isAwaited(draft, message)) return;
  const { from, order } = message;
  draft.addMessage({ kind: 'order-answer', from, order, answer, late: false });
}

/** Whether the sender still waits for the answer. */
function isAwaited(draft: Draft, message: Extract<Message, { kind: 'order' | 'query' }>): boolean {
  const { status, incarnation } = draft.daemon(message.from.daemon);
  return !message.late && status !== 'dead' && incarnation === message.from.incarnation;
}

/** Without read-back a lost answer is treated as a refusal. */
function answerOrder(
  draft: Draft,
  message: Extract<Message, { kind: 'order' | 'order-answer' }>,
  answer: OrderAnswer,
): void {
  const { order, from } = message;
  const treatedAs =
    answer.kind === 'lost' && !draft.protections.readBack ? refusedAnswer(order) : answer;
  draft.stepController(from.daemon, {
    kind: 'order-answer',
    engine: order.engine,
    orderId: order.id,
    fence: order.fence,
    answer: treatedAs,
  });
}

function refusedAnswer(order: { readonly boot: string }): OrderAnswer {
  return { kind: 'refused', reason: 'invalid', fence: null, boot: order.boot };
}

function answerQuery(
  draft: Draft,
  message: Extract<Message, { kind: 'query' | 'query-answer' }>,
  state: ReturnType<typeof orderState> | 'lost',
): void {
  const { from, orderId } = message;
  const engine = draft.world.engine.name;
  draft.stepController(from.daemon, { kind: 'order-state', engine, orderId, state });
}

/** An engine that carries out an order refuses the request without running it. */
function deliverRequest(draft: Draft): void {
  const { engine } = draft.world;
  if (runningOrder(engine) !== null) return;
  draft.world.engine = { ...engine, active: engine.active + 1 };
}
