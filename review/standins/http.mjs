// Calls of operators and members to control, as the platform makes them.
import {request} from 'node:http';

/** A call without an answer moves on to another node after this time. */
const TIMEOUT_MS = 1_000;
const MAX_REDIRECTS = 2;

/** Sends one request; undefined without a complete answer. */
export function call(address, method, path, text = '') {
  return new Promise(resolve => {
    const [host, port] = address.split(':');
    const headers = {
      'Content-Type': 'application/json',
      'Content-Length': Buffer.byteLength(text),
    };
    const options = {host, port, method, path, headers, agent: false};
    const sent = request({...options, timeout: TIMEOUT_MS}, response => {
      let body = '';
      response.on('data', part => (body += part));
      response.on('error', () => resolve(undefined));
      response.on('end', () => {
        const {statusCode: status, headers: received} = response;
        resolve({status, body, location: received.location});
      });
    });
    sent.on('timeout', () => sent.destroy());
    sent.on('error', () => resolve(undefined));
    sent.on('close', () => resolve(undefined));
    sent.end(text);
  });
}

/** Sends one request and follows its redirects. */
export async function callNode(address, method, path, text) {
  let reply = await call(address, method, path, text);
  for (let count = 0; count < MAX_REDIRECTS; count++) {
    if (reply?.status !== 307) break;
    const {host, pathname} = new URL(reply.location);
    reply = await call(host, method, pathname, text);
  }
  return reply;
}

/** Tries the addresses in turn until one gives a clear answer. */
export async function callControl(addresses, method, path, content) {
  const text = content === undefined ? '' : JSON.stringify(content);
  for (const address of addresses) {
    const reply = await callNode(address, method, path, text);
    if (reply === undefined || reply.status >= 300) continue;
    return {...reply, json: parse(reply.body)};
  }
  return undefined;
}

function parse(text) {
  try {
    return JSON.parse(text);
  } catch {
    return undefined;
  }
}
