import type { SettingsDeltaMessage, SettingsMessage } from '../common/Messages.js';
import type { SettingsTree } from '../common/SettingsSchema.js';
import { buildCatalog, checkTree, writePath, type Catalog } from '../common/SettingsTree.js';

/** Settings that an entry host applies; replaced only by newer ones. */
export class SettingsView {
  /** Log index of the last change; 0 before the first settings arrive. */
  index = 0;

  revision = 0;

  catalog: Catalog;

  private tree: SettingsTree;

  constructor() {
    this.tree = checkTree({}).unwrapOrElse((faults) => {
      throw new Error(faults.map((fault) => fault.message).join(' '));
    });
    this.catalog = buildCatalog(this.tree);
  }

  /** Applies a whole tree; returns false if it is not newer. */
  applyFull(message: SettingsMessage): boolean {
    if (message.index <= this.index) return false;
    this.replace(message.tree, message.index, message.revision);
    return true;
  }

  /** Applies one change on top of its predecessor; false means that the tree must be fetched. */
  applyDelta(message: SettingsDeltaMessage): boolean {
    if (message.previousIndex !== this.index || message.index <= this.index) return false;
    const written = writePath(this.tree, message.path, message.value);
    if (written.isErr) return false;
    this.replace(written.value, message.index, message.revision);
    return true;
  }

  /** The settings as a message for a peer. */
  toMessage(type: SettingsMessage['type']): SettingsMessage {
    return { type, index: this.index, revision: this.revision, tree: this.tree };
  }

  private replace(tree: SettingsTree, index: number, revision: number): void {
    this.tree = tree;
    this.index = index;
    this.revision = revision;
    this.catalog = buildCatalog(tree);
  }
}
