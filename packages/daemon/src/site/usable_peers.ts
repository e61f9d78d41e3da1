import type {Hello} from '@hibiscusbeam/wire';
import {parseAddress} from '../settings';
import {nameSchema} from '../settings/scalars';

/** Whether `text` is an address that a channel can be opened to. */
export function isUsableAddress(text: string): boolean {
  return parseAddress(text).ok;
}

/**
 * Whether a hello has only values that valid settings can have. An empty
 * address would end the process that opens a channel to it, and a name of
 * megabytes would stay in its memory.
 */
export function isUsableHello(hello: Hello): boolean {
  const {instance, role, zone, region, address, target, callerAddress} = hello;
  if (role !== 'entry' && role !== 'agent') return false;
  if (!isUsableAddress(address)) return false;
  if (callerAddress !== '' && !isUsableAddress(callerAddress)) return false;
  const names = [instance, zone, region];
  if (target !== undefined) names.push(target.name);
  if (target !== undefined && target.service !== '') names.push(target.service);
  return names.every(name => nameSchema.safeParse(name).success);
}
