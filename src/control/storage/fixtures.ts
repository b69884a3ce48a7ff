import { open } from 'node:fs/promises';

/** Methods of a file handle that tests replace to simulate a slow or faulty disk. */
export interface FileHandleMethods {
  writeFile: (bytes: Uint8Array) => Promise<void>;
  datasync: () => Promise<void>;
  sync: () => Promise<void>;
}

/** Prototype of all file handles, for tests. */
export async function fileHandlePrototype(folder: string): Promise<FileHandleMethods> {
  const handle = await open(folder, 'r');
  await handle.close();
  return Object.getPrototypeOf(handle) as FileHandleMethods;
}

/** Error of a disk that refuses an operation, for tests. */
export function createDiskError(code: string): Error {
  return Object.assign(new Error(code), { code });
}
