import assert from "node:assert/strict";
import { describe, it } from "node:test";
import { RemoteClock } from "../../src/base/remote_clock.ts";

// Guards against rows that count as newer than the store's response.
describe("RemoteClock", () => {
  const cases = [
    {
      name: "takes the time of the request without earlier responses",
      responses: [{ remoteMs: 500, sentAt: 1000, receivedAt: 1900 }],
      expected: 1000,
    },
    {
      name: "uses the bound that the shortest response gave",
      responses: [
        { remoteMs: 500, sentAt: 1000, receivedAt: 1004 },
        { remoteMs: 1300, sentAt: 1100, receivedAt: 1810 },
      ],
      expected: 1800,
    },
    {
      name: "dates a response that was read late from its own reading",
      responses: [
        { remoteMs: 500, sentAt: 1000, receivedAt: 1004 },
        { remoteMs: 600, sentAt: 1050, receivedAt: 4000 },
      ],
      expected: 1100,
    },
    {
      name: "starts anew after this process was suspended",
      responses: [
        { remoteMs: 500, sentAt: 1000, receivedAt: 1004 },
        { remoteMs: 4500, sentAt: 2000, receivedAt: 2010 },
      ],
      expected: 2000,
    },
    {
      name: "starts anew when the remote clock is set back",
      responses: [
        { remoteMs: 500_000, sentAt: 1000, receivedAt: 1004 },
        { remoteMs: 10, sentAt: 2000, receivedAt: 2010 },
      ],
      expected: 2000,
    },
  ];
  for (const { name, responses, expected } of cases) {
    it(name, () => {
      const clock = new RemoteClock();
      const times = responses.map((response) => clock.toLocal(response));
      assert.equal(times.at(-1), expected);
    });
  }
});
