/** An IP address and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Parses host:port, also with an IPv6 host in brackets. */
export function parseAddress(text: string): Address | undefined {
  const match = /^\[?([^\]]+)\]?:(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  const port = Number(match[2]);
  return port > 65_535 ? undefined : {host: match[1]!, port};
}
