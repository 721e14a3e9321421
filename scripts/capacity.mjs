// Recomputes the tables of docs/CAPACITY.md from the JSON that
// `npm run -s bench -- control --seed 1 --json` prints.
import { readFileSync } from "node:fs";

const file = process.argv[2] ?? "docs/control-seed-1.json";
const { arms } = JSON.parse(readFileSync(file, "utf8"));

function median(values) {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = Math.floor(sorted.length / 2);
  return sorted.length % 2 === 1
    ? sorted[middle]
    : (sorted[middle - 1] + sorted[middle]) / 2;
}
const value = (arm, figure) => median(arms[arm][figure]);
const fit = (name) => ({
  slope: value(`fit ${name}`, "slope"),
  base: value(`fit ${name}`, "intercept"),
  r2: value(`fit ${name}`, "r2"),
});

// Target of section 2.3 of the design page, and assumptions of CAPACITY.md.
const size = {
  nodes: 14_000,
  routers: 3500,
  regions: 7,
  domains: 26,
  services: 100,
  entries: 1000,
  changesPerS: 29_000 / 86_400,
  nodesPerDomain: 540,
};
const BASE_ENTRIES = 12;
const BASE_ROUTERS = 50;
const RENEWALS_PER_S = 1000 / 300;
const BEATS_PER_S = 1000 / 300;
const ASKS_PER_S = 1000 / 400;
const WITNESSES = 5;
const MAX_MESSAGE = 1024 * 1024;
const BOUND = { core: 0.01, bytes: 3000, reads: 2000, writes: 300, mib: 32 };

const regionRouters = size.routers / size.regions;
const upstreams = size.nodes - size.routers;
// Each router polls every 500 ms and checks its member row every 5 s. The other
// reads measured come from the candidates for a lease, at most five a region.
const OWN_READS_PER_S = 2.2;
const ROUTERS_PER_REGION_MEASURED = 4;
const candidateReads =
  (value("idle deployment", "readsPerSPerRouter") - OWN_READS_PER_S) *
  ROUTERS_PER_REGION_MEASURED * 5 / 3;
const change = fit("follower, catalogueChangeBytes by entries");
const changeUs = fit("follower, catalogueChangeUs by entries");
const beat = fit("follower, heartbeatPollBytes by regions");
const vmByRouter = fit("follower, vmListBytes by routers");
const vmByService = fit("follower, vmListBytes by services");
const request = fit("term, requestBytes by entries");
const answer = fit("term, answerBytes by entries");
const serveByRouters = fit("term, serveUs by routers");
const serveByEntries = fit("term, serveUs by entries");
const plan = fit("term, planUs by services");
const rowByShards = fit("term, rowBytes by shards");
const rowByPins = fit("term, rowBytes by pins");
const witness = fit("follower, witnessAnswerBytes by services");
const callUs = value("transport", "bothEndsUs") / 2;
const callBytes = value("transport", "bytesPerCall");
const upstreamBytes = vmByService.slope / 12;
const vmBytes = (size.routers * vmByRouter.slope +
  upstreams * upstreamBytes) / size.nodes;
// Microseconds for each router and entry; both sweeps measure it.
const pairUs = [
  serveByRouters.slope / BASE_ENTRIES,
  serveByEntries.slope / BASE_ROUTERS,
];

const show = (number) => Number(number.toPrecision(3)).toLocaleString("en");
const line = (...cells) => console.log(`| ${cells.join(" | ")} |`);

console.log("Slopes (medians of the repetitions' fits)\n");
line("slope", "value", "intercept", "R²");
line("---", "---", "---", "---");
for (
  const [name, one] of Object.entries({
    "bytes of a catalogue change at a follower, by entries": change,
    "µs of a catalogue change at a follower, by entries": changeUs,
    "bytes of one beat of every region, by regions": beat,
    "bytes of the VM list, by routers": vmByRouter,
    "bytes of the VM list, by services (12 upstreams each)": vmByService,
    "bytes of a renewal, by entries": request,
    "bytes of its answer, by entries": answer,
    "µs of a renewal at the coordinator, by routers (12 entries)":
      serveByRouters,
    "µs of a renewal at the coordinator, by entries (50 routers)":
      serveByEntries,
    "µs of a plan, by services (12 upstreams, 512 shards)": plan,
    "bytes of an assignment row, by shards": rowByShards,
    "bytes of an assignment row, by pins": rowByPins,
    "bytes of a witness's answer, by rows": witness,
  })
) line(name, show(one.slope), show(one.base), one.r2.toFixed(3));

console.log("\nAt the target\n");
line("role", "figure", "at the target", "bound", "breaks at", "arithmetic");
line("---", "---", "---", "---", "---", "---");
function row(role, figure, at, bound, breaks, arithmetic) {
  line(role, figure, at, bound, breaks, arithmetic);
}
const changeBytes = change.slope * size.entries + change.base;
row(
  "catalogue follower",
  "bytes/s of changes",
  show(changeBytes * size.changesPerS),
  BOUND.bytes,
  `${
    show((BOUND.bytes / size.changesPerS - change.base) / change.slope)
  } entries`,
  `(${show(change.slope)} × ${size.entries} + ${show(change.base)}) × ${
    show(size.changesPerS)
  }/s`,
);
const changeCpu = (changeUs.slope * size.entries + changeUs.base) / 1e6 *
  size.changesPerS;
row(
  "catalogue follower",
  "core for changes",
  `${show(changeCpu * 100)}%`,
  "1%",
  `${
    show(
      (BOUND.core * 1e6 / size.changesPerS - changeUs.base) / changeUs.slope,
    )
  } entries`,
  `(${show(changeUs.slope)} µs × ${size.entries} + ${show(changeUs.base)}) × ${
    show(size.changesPerS)
  }/s`,
);
row(
  "catalogue follower",
  "store reads/s, all routers",
  show(OWN_READS_PER_S * size.routers + candidateReads * size.regions),
  BOUND.reads,
  `${
    show((BOUND.reads - candidateReads * size.regions) / OWN_READS_PER_S)
  } routers`,
  `${OWN_READS_PER_S}/s × ${size.routers} + ${
    show(candidateReads)
  }/s × ${size.regions}`,
);
row(
  "coordinator view",
  "bytes/s of heartbeats",
  show(beat.slope * size.regions * BEATS_PER_S),
  BOUND.bytes,
  `${show(BOUND.bytes / beat.slope / BEATS_PER_S)} regions`,
  `${show(beat.slope)} × ${size.regions} × ${show(BEATS_PER_S)}/s`,
);
row(
  "VM list reader",
  "bytes/s",
  show(vmBytes * size.nodes),
  BOUND.bytes,
  `${show(BOUND.bytes / vmBytes)} VMs`,
  `${show(vmBytes)} × ${size.nodes} × 1/s`,
);
const renewBytes = (request.slope + answer.slope) * size.entries +
  request.base + answer.base;
row(
  "dispatcher (renewal)",
  "bytes/s",
  show(renewBytes * RENEWALS_PER_S),
  BOUND.bytes,
  `${
    show(
      (BOUND.bytes / RENEWALS_PER_S - request.base - answer.base) /
        (request.slope + answer.slope),
    )
  } entries`,
  `(${show(request.slope + answer.slope)} × ${size.entries} + ${
    show(request.base + answer.base)
  }) × ${show(RENEWALS_PER_S)}/s`,
);
row(
  "dispatcher (renewal)",
  "bytes of one renewal",
  show(request.slope * size.entries + request.base),
  show(MAX_MESSAGE),
  `${show((MAX_MESSAGE - request.base) / request.slope)} entries`,
  `${show(request.slope)} × ${size.entries} + ${show(request.base)}`,
);
for (const [index, us] of pairUs.entries()) {
  row(
    "coordinator, limit shares",
    `cores for shares (slope by ${index === 0 ? "routers" : "entries"})`,
    show(us / 1e6 * regionRouters ** 2 * size.entries * RENEWALS_PER_S),
    "0.01",
    `${
      show(
        Math.sqrt(BOUND.core * 1e6 / us / BASE_ENTRIES / RENEWALS_PER_S),
      )
    } routers with ${BASE_ENTRIES} entries`,
    `${show(us)} µs × ${regionRouters}² × ${size.entries} × ${
      show(RENEWALS_PER_S)
    }/s`,
  );
}
const planMs = (plan.slope * size.services + plan.base) / 1000;
const plansPerS = value("coordinator, routers=12", "plansPerS");
row(
  "coordinator, plan",
  "ms of one plan",
  show(planMs),
  "1% of a core",
  `${show(BOUND.core * 1e6 / plan.slope)} plans/s with one service`,
  `${show(plan.slope)} µs × ${size.services} + ${show(plan.base)}; ${
    show(plansPerS)
  } plans/s measured with 12 routers`,
);
const rowBytes = rowByShards.slope * 512 + rowByShards.base;
const pinsPerRow = 810 / size.services;
row(
  "assignment rows",
  "MB that a router reads at its start",
  show(
    (rowBytes + rowByPins.slope * pinsPerRow / size.regions) *
      size.services * size.regions / 1e6,
  ),
  "none",
  "",
  `(${show(rowBytes)} + ${show(rowByPins.slope)} × 810 / 700) × ${
    size.services * size.regions
  } rows`,
);
const rows = size.services * size.regions;
row(
  "witness, store lost",
  "bytes/s of answers",
  show((witness.slope * rows + witness.base) * WITNESSES * ASKS_PER_S),
  BOUND.bytes,
  `${
    show(
      (BOUND.bytes / WITNESSES / ASKS_PER_S - witness.base) / witness.slope,
    )
  } rows`,
  `(${show(witness.slope)} × ${rows} + ${
    show(witness.base)
  }) × ${WITNESSES} × ${ASKS_PER_S}/s`,
);
row(
  "writer of a change (audit, admin)",
  "s of processor time for one change",
  show(2 * size.routers * callUs / 1e6),
  "3 s in force",
  `${show(3e6 / callUs / 2)} routers`,
  `2 calls × ${size.routers} × ${show(callUs)} µs`,
);
row(
  "writer of a change",
  "bytes of one change",
  show(2 * size.routers * callBytes),
  "none",
  "",
  `2 × ${size.routers} × ${show(callBytes)}`,
);
row(
  "history and audit",
  "GB a day in the store",
  show(changeBytes / 2 * 29_000 / 1e9),
  "none",
  "",
  `${show(changeBytes / 2)} × 29,000`,
);
const writes = value("idle deployment", "writesPerSPerRegion");
row(
  "coordinator lease",
  "store writes/s, all regions",
  show(writes * size.regions),
  BOUND.writes,
  `${show(BOUND.writes / writes)} regions`,
  `${show(writes)} × ${size.regions}`,
);
const domainRouters = size.nodesPerDomain * size.routers / size.nodes;
const survivors = regionRouters - domainRouters;
row(
  "loss of a failure domain",
  "store writes in its first seconds",
  show(2 * size.services + survivors),
  `${BOUND.writes}/s`,
  "",
  `2 rows × ${size.services} services + ${show(survivors)} member rows`,
);
row(
  "process",
  "MiB resident, idle",
  show(value("idle deployment", "residentMiB")),
  BOUND.mib,
  "",
  "measured",
);
row(
  "process",
  "core, idle router / coordinator",
  `${show(value("idle deployment", "routerCorePercent"))}% / ${
    show(value("idle deployment", "coordinatorCorePercent"))
  }%`,
  "1%",
  "",
  "measured, 12 routers in 3 regions",
);
