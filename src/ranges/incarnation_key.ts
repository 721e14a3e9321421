/**
 * @param upstream - one incarnation of an upstream
 * @returns a text that identifies it
 */
export function incarnationKey(
  upstream: { id: string; incarnation: number },
): string {
  return `${upstream.id}/${upstream.incarnation}`;
}
