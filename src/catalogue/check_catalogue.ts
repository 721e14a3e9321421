import { describeValue } from "../settings/describe_value.ts";
import type { DocumentProblem } from "../settings/document_problem.ts";
import type { CatalogueDocument } from "./catalogue_document.ts";
import type { Entry } from "./entry.ts";
import { normalizeHost } from "./normalize_host.ts";
import { prefixSegments } from "./prefix_segments.ts";

type Named = { name: string; entry: Entry };

/** Host names and IP addresses, the latter of version 6 in brackets. */
const HOST_PATTERN = /^([A-Za-z0-9_-]+(\.[A-Za-z0-9_-]+)*\.?|\[[0-9a-f:]+\])$/i;

function checkService(
  { name, entry }: Named,
  document: CatalogueDocument,
): DocumentProblem[] {
  // A service may have the name of a property that every object has.
  if (Object.hasOwn(document.services, entry.service)) return [];
  return [{
    path: ["entries", name, "service"],
    found: describeValue(entry.service),
    allowed: `a service of this catalogue (${
      Object.keys(document.services).join(", ") || "there are none"
    })`,
  }];
}

function checkHomeRegions({ name, entry }: Named): DocumentProblem[] {
  return entry.homeRegions.flatMap((region, position) =>
    entry.homeRegions.indexOf(region) === position ? [] : [{
      path: ["entries", name, "homeRegions", position],
      found: `the repeated region ${describeValue(region)}`,
      allowed: "each region once",
    }]
  );
}

function checkMatch({ name, entry }: Named): DocumentProblem[] {
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

/** Entries of one service share owners of keys, so they agree on these. */
function checkAgreement(first: Named, other: Named): DocumentProblem[] {
  const facts = (entry: Entry) => [
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
  const expected = facts(first.entry);
  return facts(other.entry).flatMap(({ path, value }, position) => {
    const wanted = expected[position]?.value;
    return value === wanted ? [] : [{
      path: ["entries", other.name, ...path],
      found: value,
      allowed: `${wanted ?? ""} as in entry ${first.name}, which has the ` +
        `same service ${first.entry.service}`,
    }];
  });
}

/**
 * Checks the rules that hold across the records of a catalogue.
 *
 * @param document - a document that matches its schema
 * @returns every violation; empty when the document may be put in force
 */
export function checkCatalogue(
  document: CatalogueDocument,
): DocumentProblem[] {
  const problems: DocumentProblem[] = [];
  const firstOfService = new Map<string, Named>();
  const firstOfPlace = new Map<string, string>();
  for (const [name, entry] of Object.entries(document.entries)) {
    const named = { name, entry };
    problems.push(
      ...checkService(named, document),
      ...checkHomeRegions(named),
      ...checkMatch(named),
    );

    const first = firstOfService.get(entry.service);
    if (first === undefined) firstOfService.set(entry.service, named);
    else problems.push(...checkAgreement(first, named));

    const segments = prefixSegments(entry.match.pathPrefix);
    if (segments === undefined) continue;
    const { host } = entry.match;
    const place = JSON.stringify([
      host === undefined ? null : normalizeHost(host),
      ...segments,
    ]);
    const rival = firstOfPlace.get(place);
    if (rival === undefined) firstOfPlace.set(place, name);
    else {
      problems.push({
        path: ["entries", name, "match"],
        found: "the same host and path prefix as in entry " + rival,
        allowed: "a host and path prefix that no other entry has",
      });
    }
  }
  return problems;
}
