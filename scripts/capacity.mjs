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
const target = {
  vms: 14_000,
  routers: 3500,
  regions: 7,
  domains: 26,
  services: 100,
  entries: 1000,
  changesPerS: 29_000 / 86_400,
  vmsPerDomain: 540,
};
// Entries in the bench's sweep over routers, routers in its sweep over entries.
const SWEEP_ENTRIES = 12;
const SWEEP_ROUTERS = 50;
const RENEWALS_PER_S = 1000 / 300;
const HEARTBEATS_PER_S = 1000 / 300;
const WITNESS_ASKS_PER_S = 1000 / 400;
const WITNESSES = 5;
const MAX_MESSAGE_BYTES = 1024 * 1024;
const BOUNDS = {
  cores: 0.01,
  bytesPerS: 3000,
  readsPerS: 2000,
  writesPerS: 300,
  residentMiB: 32,
};

const routersPerRegion = target.routers / target.regions;
const upstreams = target.vms - target.routers;
// Each router polls every 500 ms and checks its member row every 5 s. All other
// measured reads are made by candidates for a lease, at most five per region.
const READS_PER_S_PER_ROUTER = 2.2;
const MEASURED_ROUTERS_PER_REGION = 4;
const candidateReadsPerS =
  (value("idle deployment", "readsPerSPerRouter") - READS_PER_S_PER_ROUTER) *
  MEASURED_ROUTERS_PER_REGION * 5 / 3;
const changeFit = fit("follower, catalogueChangeBytes by entries");
const changeUsFit = fit("follower, catalogueChangeUs by entries");
const heartbeatFit = fit("follower, heartbeatPollBytes by regions");
const vmListByRoutersFit = fit("follower, vmListBytes by routers");
const vmListByServicesFit = fit("follower, vmListBytes by services");
const requestFit = fit("term, requestBytes by entries");
const answerFit = fit("term, answerBytes by entries");
const serveByRoutersFit = fit("term, serveUs by routers");
const serveByEntriesFit = fit("term, serveUs by entries");
const planFit = fit("term, planUs by services");
const rowByShardsFit = fit("term, rowBytes by shards");
const rowByPinsFit = fit("term, rowBytes by pins");
const witnessFit = fit("follower, witnessAnswerBytes by services");
const usPerCall = value("transport", "bothEndsUs") / 2;
const bytesPerCall = value("transport", "bytesPerCall");
const bytesPerUpstream = vmListByServicesFit.slope / 12;
const bytesPerVm = (target.routers * vmListByRoutersFit.slope +
  upstreams * bytesPerUpstream) / target.vms;
// Microseconds per router and entry, as either sweep measures them.
const usPerRouterAndEntry = [
  serveByRoutersFit.slope / SWEEP_ENTRIES,
  serveByEntriesFit.slope / SWEEP_ROUTERS,
];

const format = (number) => Number(number.toPrecision(3)).toLocaleString("en");
const printLine = (...cells) => console.log(`| ${cells.join(" | ")} |`);

console.log("Slopes (medians of the repetitions' fits)\n");
printLine("slope", "value", "intercept", "R²");
printLine("---", "---", "---", "---");
for (
  const [name, one] of Object.entries({
    "bytes of a catalogue change at a follower, by entries": changeFit,
    "µs of a catalogue change at a follower, by entries": changeUsFit,
    "bytes of one beat of every region, by regions": heartbeatFit,
    "bytes of the VM list, by routers": vmListByRoutersFit,
    "bytes of the VM list, by services (12 upstreams each)":
      vmListByServicesFit,
    "bytes of a renewal, by entries": requestFit,
    "bytes of its answer, by entries": answerFit,
    "µs of a renewal at the coordinator, by routers (12 entries)":
      serveByRoutersFit,
    "µs of a renewal at the coordinator, by entries (50 routers)":
      serveByEntriesFit,
    "µs of a plan, by services (12 upstreams, 512 shards)": planFit,
    "bytes of an assignment row, by shards": rowByShardsFit,
    "bytes of an assignment row, by pins": rowByPinsFit,
    "bytes of a witness's answer, by rows": witnessFit,
  })
) printLine(name, format(one.slope), format(one.base), one.r2.toFixed(3));

console.log("\nAt the target\n");
printLine(
  "role",
  "figure",
  "at the target",
  "bound",
  "breaks at",
  "arithmetic",
);
printLine("---", "---", "---", "---", "---", "---");
function printRow(role, figure, at, bound, breaks, arithmetic) {
  printLine(role, figure, at, bound, breaks, arithmetic);
}
const changeBytes = changeFit.slope * target.entries + changeFit.base;
printRow(
  "catalogue follower",
  "bytes/s of changes",
  format(changeBytes * target.changesPerS),
  BOUNDS.bytesPerS,
  `${
    format(
      (BOUNDS.bytesPerS / target.changesPerS - changeFit.base) /
        changeFit.slope,
    )
  } entries`,
  `(${format(changeFit.slope)} × ${target.entries} + ${
    format(changeFit.base)
  }) × ${format(target.changesPerS)}/s`,
);
const changeCpu = (changeUsFit.slope * target.entries + changeUsFit.base) /
  1e6 *
  target.changesPerS;
printRow(
  "catalogue follower",
  "core for changes",
  `${format(changeCpu * 100)}%`,
  "1%",
  `${
    format(
      (BOUNDS.cores * 1e6 / target.changesPerS - changeUsFit.base) /
        changeUsFit.slope,
    )
  } entries`,
  `(${format(changeUsFit.slope)} µs × ${target.entries} + ${
    format(changeUsFit.base)
  }) × ${format(target.changesPerS)}/s`,
);
printRow(
  "catalogue follower",
  "store reads/s, all routers",
  format(
    READS_PER_S_PER_ROUTER * target.routers +
      candidateReadsPerS * target.regions,
  ),
  BOUNDS.readsPerS,
  `${
    format(
      (BOUNDS.readsPerS - candidateReadsPerS * target.regions) /
        READS_PER_S_PER_ROUTER,
    )
  } routers`,
  `${READS_PER_S_PER_ROUTER}/s × ${target.routers} + ${
    format(candidateReadsPerS)
  }/s × ${target.regions}`,
);
printRow(
  "coordinator view",
  "bytes/s of heartbeats",
  format(heartbeatFit.slope * target.regions * HEARTBEATS_PER_S),
  BOUNDS.bytesPerS,
  `${format(BOUNDS.bytesPerS / heartbeatFit.slope / HEARTBEATS_PER_S)} regions`,
  `${format(heartbeatFit.slope)} × ${target.regions} × ${
    format(HEARTBEATS_PER_S)
  }/s`,
);
printRow(
  "VM list reader",
  "bytes/s",
  format(bytesPerVm * target.vms),
  BOUNDS.bytesPerS,
  `${format(BOUNDS.bytesPerS / bytesPerVm)} VMs`,
  `${format(bytesPerVm)} × ${target.vms} × 1/s`,
);
const renewBytes = (requestFit.slope + answerFit.slope) * target.entries +
  requestFit.base + answerFit.base;
printRow(
  "dispatcher (renewal)",
  "bytes/s",
  format(renewBytes * RENEWALS_PER_S),
  BOUNDS.bytesPerS,
  `${
    format(
      (BOUNDS.bytesPerS / RENEWALS_PER_S - requestFit.base - answerFit.base) /
        (requestFit.slope + answerFit.slope),
    )
  } entries`,
  `(${format(requestFit.slope + answerFit.slope)} × ${target.entries} + ${
    format(requestFit.base + answerFit.base)
  }) × ${format(RENEWALS_PER_S)}/s`,
);
printRow(
  "dispatcher (renewal)",
  "bytes of one renewal",
  format(requestFit.slope * target.entries + requestFit.base),
  format(MAX_MESSAGE_BYTES),
  `${format((MAX_MESSAGE_BYTES - requestFit.base) / requestFit.slope)} entries`,
  `${format(requestFit.slope)} × ${target.entries} + ${
    format(requestFit.base)
  }`,
);
for (const [index, us] of usPerRouterAndEntry.entries()) {
  printRow(
    "coordinator, limit shares",
    `cores for shares (slope by ${index === 0 ? "routers" : "entries"})`,
    format(us / 1e6 * routersPerRegion ** 2 * target.entries * RENEWALS_PER_S),
    "0.01",
    `${
      format(
        Math.sqrt(BOUNDS.cores * 1e6 / us / SWEEP_ENTRIES / RENEWALS_PER_S),
      )
    } routers with ${SWEEP_ENTRIES} entries`,
    `${format(us)} µs × ${routersPerRegion}² × ${target.entries} × ${
      format(RENEWALS_PER_S)
    }/s`,
  );
}
const planMs = (planFit.slope * target.services + planFit.base) / 1000;
const plansPerS = value("coordinator, routers=12", "plansPerS");
printRow(
  "coordinator, plan",
  "ms of one plan",
  format(planMs),
  "1% of a core",
  `${format(BOUNDS.cores * 1e6 / planFit.slope)} plans/s with one service`,
  `${format(planFit.slope)} µs × ${target.services} + ${
    format(planFit.base)
  }; ${format(plansPerS)} plans/s measured with 12 routers`,
);
const rowBytes = rowByShardsFit.slope * 512 + rowByShardsFit.base;
const pinsPerRow = 810 / target.services;
printRow(
  "assignment rows",
  "MB that a router reads at its start",
  format(
    (rowBytes + rowByPinsFit.slope * pinsPerRow / target.regions) *
      target.services * target.regions / 1e6,
  ),
  "none",
  "",
  `(${format(rowBytes)} + ${format(rowByPinsFit.slope)} × 810 / 700) × ${
    target.services * target.regions
  } rows`,
);
const rows = target.services * target.regions;
printRow(
  "witness, store lost",
  "bytes/s of answers",
  format(
    (witnessFit.slope * rows + witnessFit.base) * WITNESSES *
      WITNESS_ASKS_PER_S,
  ),
  BOUNDS.bytesPerS,
  `${
    format(
      (BOUNDS.bytesPerS / WITNESSES / WITNESS_ASKS_PER_S - witnessFit.base) /
        witnessFit.slope,
    )
  } rows`,
  `(${format(witnessFit.slope)} × ${rows} + ${
    format(witnessFit.base)
  }) × ${WITNESSES} × ${WITNESS_ASKS_PER_S}/s`,
);
printRow(
  "writer of a change (audit, admin)",
  "s of processor time for one change",
  format(2 * target.routers * usPerCall / 1e6),
  "3 s in force",
  `${format(3e6 / usPerCall / 2)} routers`,
  `2 calls × ${target.routers} × ${format(usPerCall)} µs`,
);
printRow(
  "writer of a change",
  "bytes of one change",
  format(2 * target.routers * bytesPerCall),
  "none",
  "",
  `2 × ${target.routers} × ${format(bytesPerCall)}`,
);
printRow(
  "history and audit",
  "GB a day in the store",
  format(changeBytes / 2 * 29_000 / 1e9),
  "none",
  "",
  `${format(changeBytes / 2)} × 29,000`,
);
const writes = value("idle deployment", "writesPerSPerRegion");
printRow(
  "coordinator lease",
  "store writes/s, all regions",
  format(writes * target.regions),
  BOUNDS.writesPerS,
  `${format(BOUNDS.writesPerS / writes)} regions`,
  `${format(writes)} × ${target.regions}`,
);
const routersPerDomain = target.vmsPerDomain * target.routers / target.vms;
const survivingRouters = routersPerRegion - routersPerDomain;
printRow(
  "loss of a failure domain",
  "store writes in its first seconds",
  format(2 * target.services + survivingRouters),
  `${BOUNDS.writesPerS}/s`,
  "",
  `2 rows × ${target.services} services + ${
    format(survivingRouters)
  } member rows`,
);
printRow(
  "process",
  "MiB resident, idle",
  format(value("idle deployment", "residentMiB")),
  BOUNDS.residentMiB,
  "",
  "measured",
);
printRow(
  "process",
  "core, idle router / coordinator",
  `${format(value("idle deployment", "routerCorePercent"))}% / ${
    format(value("idle deployment", "coordinatorCorePercent"))
  }%`,
  "1%",
  "",
  "measured, 12 routers in 3 regions",
);
