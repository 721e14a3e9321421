import { describeValue } from "../settings/describe_value.ts";
import type { DocumentProblem } from "../settings/document_problem.ts";
import type { CatalogueDocument } from "./catalogue_document.ts";
import type { Entry } from "./entry.ts";
import { normalizeHost } from "./normalize_host.ts";
import { prefixSegments } from "./prefix_segments.ts";

type NamedEntry = { name: string; entry: Entry };

/** A host name, an IPv4 address, or an IPv6 address in brackets. */
const HOST_PATTERN = /^([A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*\.?|\[[0-9a-f:]+\])$/i;

function checkService(
  { name, entry }: NamedEntry,
  document: CatalogueDocument,
): DocumentProblem[] {
  // `in` would also find inherited properties, e.g. `constructor`.
  if (Object.hasOwn(document.services, entry.service)) return [];
  return [{
    path: ["entries", name, "service"],
    found: describeValue(entry.service),
    allowed: `a service of this catalogue (${
      Object.keys(document.services).join(", ") || "there are none"
    })`,
  }];
}

function checkHomeRegions({ name, entry }: NamedEntry): DocumentProblem[] {
  return entry.homeRegions.flatMap((region, position) =>
    entry.homeRegions.indexOf(region) === position ? [] : [{
      path: ["entries", name, "homeRegions", position],
      found: `the repeated region ${describeValue(region)}`,
      allowed: "each region once",
    }]
  );
}

function checkMatch({ name, entry }: NamedEntry): DocumentProblem[] {
  const problems: DocumentProblem[] = [];
  const { host, pathPrefix } = entry.match;
  if (prefixSegments(pathPrefix) === undefined) {
    problems.push({
      path: ["entries", name, "match", "pathPrefix"],
      found: describeValue(pathPrefix),
      allowed: "a path without empty, '.' and '..' segments, query, space " +
        "and incomplete percent-encoding",
    });
  }
  if (host !== undefined && !HOST_PATTERN.test(host)) {
    problems.push({
      path: ["entries", name, "match", "host"],
      found: describeValue(host),
      allowed: "a host name or IP address without port",
    });
  }
  return problems;
}

/**
 * Checks the fields that must be equal in all entries of a service, because
 * these entries share the owners of their keys.
 */
function checkSameServiceFields(
  first: NamedEntry,
  other: NamedEntry,
): DocumentProblem[] {
  const sharedFields = (entry: Entry) => [
    {
      path: ["homeRegions"],
      value: `[${entry.homeRegions.join(", ")}]`,
    },
    { path: ["checksGrants"], value: String(entry.checksGrants) },
    {
      path: ["keySource", "kind"],
      value: entry.keySource.kind === "none" ? "none" : "with key",
    },
  ];
  const expected = sharedFields(first.entry);
  return sharedFields(other.entry).flatMap(({ path, value }, position) => {
    const expectedValue = expected[position]?.value;
    return value === expectedValue ? [] : [{
      path: ["entries", other.name, ...path],
      found: value,
      allowed:
        `${expectedValue ?? ""} as in entry ${first.name}, which has the ` +
        `same service ${first.entry.service}`,
    }];
  });
}

/**
 * Checks the rules that a schema cannot express, such as those across entries.
 *
 * @param document - a document that matches its schema
 * @returns every violation; empty if the document may be put in force
 */
export function checkCatalogue(
  document: CatalogueDocument,
): DocumentProblem[] {
  const problems: DocumentProblem[] = [];
  const firstEntryByService = new Map<string, NamedEntry>();
  const firstNameByMatch = new Map<string, string>();
  for (const [name, entry] of Object.entries(document.entries)) {
    const named = { name, entry };
    problems.push(
      ...checkService(named, document),
      ...checkHomeRegions(named),
      ...checkMatch(named),
    );

    const first = firstEntryByService.get(entry.service);
    if (first === undefined) firstEntryByService.set(entry.service, named);
    else problems.push(...checkSameServiceFields(first, named));

    const segments = prefixSegments(entry.match.pathPrefix);
    if (segments === undefined) continue;
    const { host } = entry.match;
    const matchId = JSON.stringify([
      host === undefined ? null : normalizeHost(host),
      ...segments,
    ]);
    const firstName = firstNameByMatch.get(matchId);
    if (firstName === undefined) firstNameByMatch.set(matchId, name);
    else {
      problems.push({
        path: ["entries", name, "match"],
        found: "the same host and path prefix as in entry " + firstName,
        allowed: "a host and path prefix that no other entry has",
      });
    }
  }
  return problems;
}
