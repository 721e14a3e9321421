import { control } from "../../dev/deployment/control.ts";
import { AssignmentRow } from "../../src/shards/assignment_row.ts";

/**
 * @param platformUrl - URL of the platform stand-in
 * @returns the dispatcher of each upstream, by upstream id
 */
export async function readDispatchers(
  platformUrl: string,
): Promise<Record<string, string>> {
  const url = `${platformUrl}/v1/rows?prefix=assignments/&since=0`;
  const { rows } = await control(url) as { rows: { value: unknown }[] };
  return Object.fromEntries(
    rows.flatMap(({ value }) =>
      Object.entries(AssignmentRow.parse(value).tenures)
        .map(([upstream, { vm }]) => [upstream, vm])
    ),
  );
}
