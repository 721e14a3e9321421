import { isIPv4 } from "node:net";
import { z } from "zod";

const MAX_PORT = 65_535;
/** Addresses from here on are multicast and reserved ones. */
const FIRST_RESERVED_OCTET = 224;

function isUsable(text: string): boolean {
  const split = text.lastIndexOf(":");
  const host = text.slice(0, split);
  const port = text.slice(split + 1);
  if (!isIPv4(host) || !/^[1-9]\d{0,4}$/.test(port)) return false;
  const firstOctet = Number(host.slice(0, host.indexOf(".")));
  return firstOctet > 0 && firstOctet < FIRST_RESERVED_OCTET &&
    Number(port) <= MAX_PORT;
}

/** `IP:PORT` of an upstream: an IPv4 address of one host, and a TCP port. */
export const UpstreamAddress = z.string().refine(
  isUsable,
  "not an IPv4 address and port of a host",
);
