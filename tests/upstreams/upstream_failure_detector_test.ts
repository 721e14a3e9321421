import assert from "node:assert/strict";
import { test } from "node:test";
import { UpstreamFailureDetector } from "../../src/upstreams/upstream_failure_detector.ts";
import { ManualClock } from "../support/manual_clock.ts";

type Step = [at: number, act: (detector: UpstreamFailureDetector) => void];

const failed: Step[1] = (detector) => detector.onConnectFailed();
const connected: Step[1] = (detector) => detector.onConnected();
const answered: Step[1] = (detector) => detector.onAnswer();

// Guards against an upstream that is treated as lost after one short
// interruption, and against one that is not although it is unreachable
// (section 6.3 of the design page).
const cases: { name: string; steps: Step[]; lost: boolean }[] = [
  {
    name: "two failures within 299 ms",
    steps: [[0, failed], [299, failed]],
    lost: false,
  },
  {
    name: "two failures 300 ms apart",
    steps: [[0, failed], [300, failed]],
    lost: true,
  },
  {
    name: "a connection between two failures",
    steps: [[0, failed], [100, connected], [300, failed]],
    lost: false,
  },
  {
    name: "a failed health check without an unanswered request",
    steps: [[1000, (detector) => detector.onHealthCheckFailed(0, undefined)]],
    lost: false,
  },
  {
    name: "a failed health check after an unanswered request",
    steps: [[1300, (detector) => detector.onHealthCheckFailed(300, 0)]],
    lost: true,
  },
  {
    name: "an unanswered request that was sent during a failed health check",
    steps: [[1300, (detector) => detector.onHealthCheckFailed(300, 400)]],
    lost: false,
  },
  {
    name: "an answer during a failed health check",
    steps: [
      [500, answered],
      [1300, (detector) => detector.onHealthCheckFailed(300, 0)],
    ],
    lost: false,
  },
  {
    name: "an answer after the loss",
    steps: [[0, failed], [300, failed], [900, answered]],
    lost: false,
  },
  {
    name: "only a connection after the loss",
    steps: [[0, failed], [300, failed], [900, connected]],
    lost: true,
  },
];

for (const { name, steps, lost } of cases) {
  test(`whether the upstream is lost: ${name}`, async () => {
    const clock = new ManualClock();
    const detector = new UpstreamFailureDetector(clock);
    for (const [at, act] of steps) {
      await clock.advance(at - clock.now());
      act(detector);
    }
    assert.equal(detector.lost, lost);
  });
}
