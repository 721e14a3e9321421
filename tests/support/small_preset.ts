import type { Preset } from "../../dev/deployment/preset.ts";

/** One region, two failure domains, two routers in each. */
export const SMALL_PRESET: Preset = {
  regions: ["sierra"],
  domainsPerRegion: 2,
  routersPerDomain: 2,
  services: [{
    name: "bookings",
    keyed: true,
    checksGrants: true,
    upstreamsPerDomain: 2,
    slots: 2,
    connections: 16,
    serviceMs: 10,
  }],
};
