import { request } from "undici";

/**
 * Calls a control endpoint of a stand-in.
 *
 * @param url - URL of the endpoint
 * @param body - JSON value; without it the call is a GET
 * @returns the JSON answer
 */
export async function control(url: string, body?: unknown): Promise<unknown> {
  const res = await request(url, {
    method: body === undefined ? "GET" : "POST",
    body: body === undefined ? null : JSON.stringify(body),
  });
  return res.body.json();
}
