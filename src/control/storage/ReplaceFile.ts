import { open, rename } from 'node:fs/promises';
import path from 'node:path';

/** Syncs a folder, which makes created and renamed files in it durable. */
export async function syncFolder(folder: string): Promise<void> {
  const handle = await open(folder, 'r');
  await handle.sync();
  await handle.close();
}

/** Replaces a file atomically: a crash leaves either the old or the new content. */
export async function replaceFile(folder: string, name: string, bytes: Uint8Array): Promise<void> {
  const temporary = path.join(folder, `${name}.new`);
  const handle = await open(temporary, 'w');
  try {
    await handle.writeFile(bytes);
    await handle.sync();
  } finally {
    await handle.close();
  }
  await rename(temporary, path.join(folder, name));
  await syncFolder(folder);
}
