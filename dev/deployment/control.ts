import { request } from "undici";

/**
 * Calls a control endpoint of the platform stand-in or an upstream stand-in.
 *
 * @param url - URL of the endpoint
 * @param body - JSON value that is sent with POST; the call is a GET without it
 * @returns the JSON answer
 */
export async function control(url: string, body?: unknown): Promise<unknown> {
  const res = await request(url, {
    method: body === undefined ? "GET" : "POST",
    body: body === undefined ? null : JSON.stringify(body),
  });
  return res.body.json();
}
