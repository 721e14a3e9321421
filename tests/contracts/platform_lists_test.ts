import assert from "node:assert/strict";
import { after, before, describe, test } from "node:test";
import { PlatformStandin } from "../../dev/standins/platform_standin.ts";
import { UpstreamStandin } from "../../dev/standins/upstream_standin.ts";
import { HttpObjectStore } from "../../src/contracts/http_object_store.ts";
import { HttpUpstreamReports } from "../../src/contracts/http_upstream_reports.ts";
import { HttpVmList } from "../../src/contracts/http_vm_list.ts";

const signal = new AbortController().signal;

describe("object store, VM list and upstream reports", () => {
  const platform = new PlatformStandin();
  const upstream = new UpstreamStandin({ id: "w1", service: "usage" });
  let url: string;
  let address: string;

  before(async () => {
    url = await platform.start();
    address = await upstream.start();
  });
  after(async () => {
    await platform.stop();
    await upstream.stop();
  });

  test("an object is read back complete, and absent after deletion", async () => {
    const store = new HttpObjectStore(url);
    const body = new Uint8Array([0, 255, 10]);
    (await store.put("exports/one", body, signal))._unsafeUnwrap();
    const read = (await store.get("exports/one", signal))._unsafeUnwrap();
    assert.deepEqual([...read!], [0, 255, 10]);
    (await store.delete("exports/one", signal))._unsafeUnwrap();
    assert.equal(
      (await store.get("exports/one", signal))._unsafeUnwrap(),
      undefined,
    );
    await store.close();
  });

  test("an object store outage is an error, not an absent object", async () => {
    const store = new HttpObjectStore(url);
    platform.setFaults({ outage: true });
    const result = await store.get("exports/one", signal);
    platform.setFaults({});
    assert.equal(result._unsafeUnwrapErr().kind, "unavailable");
    await store.close();
  });

  test("reading the VM list keeps fields added by later versions", async () => {
    const list = new HttpVmList(url);
    const vm = {
      id: "w1",
      kind: "upstream" as const,
      address,
      service: "usage",
      region: "sierra",
      failureDomain: "sierra-a",
      state: "leaving" as const,
      rack: "r9",
    };
    platform.setVms([vm]);
    assert.deepEqual((await list.read(signal))._unsafeUnwrap(), [vm]);
    await list.close();
  });

  test("health reports draining and a new boot; load is a number", async () => {
    const reports = new HttpUpstreamReports();
    const first = (await reports.health(address, signal))._unsafeUnwrap();
    upstream.setFaults({ draining: true, restartCold: true });
    const second = (await reports.health(address, signal))._unsafeUnwrap();
    upstream.setFaults({});
    const third = (await reports.health(address, signal))._unsafeUnwrap();

    assert.deepEqual([first.state, second.state, third.state], [
      "warm",
      "draining",
      "cold",
    ]);
    assert.notEqual(first.boot, second.boot);
    assert.equal((await reports.load(address, signal))._unsafeUnwrap().load, 0);
    await reports.close();
  });
});
