/** An IP number and a port. */
export interface Address {
  readonly host: string;
  readonly port: number;
}

/** Reads host:port; undefined where the text is something else. */
export function parseAddress(text: string): Address | undefined {
  const match = /^\[?([^\]]+)\]?:(\d{1,5})$/.exec(text);
  if (!match) return undefined;
  const port = Number(match[2]);
  return port > 65_535 ? undefined : {host: match[1]!, port};
}
