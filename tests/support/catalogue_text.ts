/** A valid catalogue with a keyed service and a service without keys. */
export const CATALOGUE_TEXT = `schema: 1
services:
  bookings: {slots: 2, connections: 130}
  search: {slots: 3, connections: 50}
entries:
  bookings-web:
    owner: acme
    class: interactive
    service: bookings
    match: {pathPrefix: /bookings}
    keySource: {kind: path, segment: 1}
    homeRegions: [sierra, costa]
    idempotent: false
    checksGrants: true
    limits: {ratePerS: 100, concurrency: 10}
  bookings-bulk:
    owner: acme
    class: batch
    service: bookings
    match: {pathPrefix: /bookings/bulk, host: bulk.example}
    keySource: {kind: header, name: x-booking}
    homeRegions: [sierra, costa]
    idempotent: true
    checksGrants: true
    limits: {ratePerS: 10, concurrency: 2}
  search:
    owner: acme
    class: interactive
    service: search
    match: {pathPrefix: /}
    keySource: {kind: none}
    homeRegions: [sierra]
    idempotent: true
    checksGrants: false
    limits: {ratePerS: 100, concurrency: 10}
`;
