import type { Preset } from "./preset.ts";

const SERVICE_MS = 4;

/** Named deployments, sized as in section 2.2 of the design page. */
export const PRESETS = {
  demo: {
    regions: ["sierra"],
    domainsPerRegion: 2,
    routersPerDomain: 1,
    services: [{
      name: "bookings",
      keyed: true,
      checksGrants: true,
      upstreamsPerDomain: 2,
      slots: 2,
      connections: 130,
      serviceMs: SERVICE_MS,
    }],
  },
  trituradoras: {
    regions: ["sierra", "costa", "oriente"],
    domainsPerRegion: 2,
    routersPerDomain: 2,
    services: [
      {
        name: "usage",
        keyed: true,
        checksGrants: true,
        upstreamsPerDomain: 2,
        slots: 2,
        connections: 130,
        serviceMs: SERVICE_MS,
      },
      {
        name: "bookings",
        keyed: true,
        checksGrants: false,
        upstreamsPerDomain: 2,
        slots: 2,
        connections: 130,
        serviceMs: SERVICE_MS,
      },
      {
        name: "availability",
        keyed: false,
        checksGrants: false,
        upstreamsPerDomain: 2,
        slots: 2,
        connections: 130,
        serviceMs: SERVICE_MS,
      },
    ],
  },
  sahakari: {
    regions: ["bagmati", "gandaki", "koshi"],
    domainsPerRegion: 2,
    routersPerDomain: 2,
    services: [
      {
        name: "applications",
        keyed: true,
        checksGrants: true,
        upstreamsPerDomain: 2,
        slots: 3,
        connections: 50,
        serviceMs: SERVICE_MS,
      },
      {
        name: "repairs",
        keyed: true,
        checksGrants: false,
        upstreamsPerDomain: 2,
        slots: 3,
        connections: 50,
        serviceMs: SERVICE_MS,
      },
      {
        name: "sheets",
        keyed: false,
        checksGrants: false,
        upstreamsPerDomain: 2,
        slots: 3,
        connections: 50,
        serviceMs: SERVICE_MS,
      },
    ],
  },
} as const satisfies Record<string, Preset>;
