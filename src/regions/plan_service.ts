import { isDeepStrictEqual } from "node:util";
import type { AssignmentRow } from "../shards/assignment_row.ts";
import { planUnits } from "./plan_units.ts";
import type { PlannedWrite } from "./planned_write.ts";
import type { ServicePlanInput } from "./service_plan_input.ts";
import type { ServiceState } from "./service_state.ts";

/**
 * Plans the next step for one service: which units dispatchers must release,
 * and which change of the row can be written now.
 *
 * @param state - the service's state; units to release are added to its
 * `moves`, and dispatch terms that the write replaces are retired
 * @param input - what else the plan depends on
 * @returns the write to make now, or undefined
 */
export function planService(
  state: ServiceState,
  input: ServicePlanInput,
): PlannedWrite | undefined {
  const { content } = state;
  const tenures = planTermChanges(state, input);
  const units = planUnits(state, { ...input, tenures });
  const owning = new Set([...units.owners, ...Object.values(units.pins)]);

  const upstreams = content.upstreams.filter((upstream) =>
    owning.has(upstream.id) || tenures[upstream.id] !== undefined ||
    input.upstreams.some((facts) => facts.id === upstream.id && !facts.out)
  ).map((upstream) => upstreamFromFacts(upstream.id, input) ?? upstream);
  for (const facts of input.upstreams) {
    if (facts.out || upstreams.some((known) => known.id === facts.id)) continue;
    const { id, address, failureDomain } = facts;
    upstreams.push({ id, address, failureDomain });
  }
  const position = new Map(upstreams.map(({ id }, index) => [id, index]));
  const next = {
    upstreams,
    shards: units.owners.map((owner) =>
      owner === undefined ? -1 : position.get(owner) ?? -1
    ),
    tenures,
    pins: units.pins,
  };
  const { upstreams: currentUpstreams, shards, tenures: currentTenures, pins } =
    content;
  const unchanged = isDeepStrictEqual(next, {
    upstreams: currentUpstreams,
    shards,
    tenures: currentTenures,
    pins,
  });
  if (unchanged && state.held !== undefined) return undefined;

  const row: AssignmentRow = {
    ...state.held?.row,
    schema: 1,
    service: state.service,
    region: input.region,
    coordinatorEpoch: input.epoch,
    writeId: input.writeId,
    ...next,
  };
  const key = `assignments/${input.region}/${state.service}`;
  const conditions = [{ key, revision: state.held?.revision ?? 0 }];
  if (units.gainsShards) {
    conditions.push(
      ...input.otherRegionRows.map((item) => ({
        key: item.key,
        revision: item.revision,
      })),
    );
  }
  return {
    service: state.service,
    row,
    transaction: { conditions, writes: [{ key, value: row }] },
  };
}

function upstreamFromFacts(
  id: string,
  input: ServicePlanInput,
): AssignmentRow["upstreams"][number] | undefined {
  const facts = input.upstreams.find((item) => item.id === id);
  if (facts === undefined) return undefined;
  return { id, address: facts.address, failureDomain: facts.failureDomain };
}

function planTermChanges(
  state: ServiceState,
  input: ServicePlanInput,
): AssignmentRow["tenures"] {
  const { content } = state;
  const tenures = { ...content.tenures };
  const owning = new Set(Object.values(content.pins));
  for (const position of content.shards) {
    const id = content.upstreams[position]?.id;
    if (id !== undefined) owning.add(id);
  }
  for (const [, move] of state.moves) owning.add(move.source);
  for (const facts of input.upstreams) {
    const { id } = facts;
    const term = state.terms.get(id);
    const isOver = term === undefined || term.isOver(input.now);
    const dispatcher = input.dispatchers.get(id);
    if (facts.out && !owning.has(id)) {
      if (term === undefined) continue;
      term.ending = true;
      if (!isOver) continue;
      state.retire(id, input.now);
      // eslint-disable-next-line @typescript-eslint/no-dynamic-delete
      delete tenures[id];
    } else if (isOver && dispatcher !== undefined) {
      // Revisions only increase, so an epoch is never used twice, even for an
      // upstream whose dispatch term was removed from the row in between.
      const epoch = 1 + Math.max(
        term?.epoch ?? 0,
        state.held?.revision ?? 0,
      );
      state.retire(id, input.now);
      state.chosenIncarnations.set(`${id}/${epoch}`, dispatcher.incarnation);
      tenures[id] = { vm: dispatcher.vm, epoch };
    }
  }
  return tenures;
}
