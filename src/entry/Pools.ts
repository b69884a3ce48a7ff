import type { SystemSettings } from '../common/SettingsSchema.js';
import type { CatalogEntry } from '../common/SettingsTree.js';
import type { BackendRecord } from './dispatch/BackendRecord.js';
import { ServicePool } from './dispatch/ServicePool.js';
import type { SettingsView } from './SettingsView.js';

/** Pools of the services that this entry host handles. */
export class Pools {
  private readonly pools = new Map<string, ServicePool>();

  constructor(private readonly settings: SettingsView) {}

  system(): SystemSettings {
    return this.settings.catalog.system;
  }

  get(service: string): ServicePool | undefined {
    return this.pools.get(service);
  }

  /** Returns the pool of a service, created on first use. */
  getOrCreate(entry: CatalogEntry): ServicePool {
    let pool = this.pools.get(entry.service);
    if (!pool) {
      pool = new ServicePool(entry);
      this.pools.set(entry.service, pool);
    }
    return pool;
  }

  forEach(visit: (pool: ServicePool) => void): void {
    this.pools.forEach(visit);
  }

  /** Finds a backend server in any pool. */
  findBackend(backendId: string): BackendRecord | undefined {
    for (const pool of this.pools.values()) {
      const record = pool.records.get(backendId);
      if (record) return record;
    }
    return undefined;
  }

  /** Applies changed settings; drops pools of removed services that have no queued calls. */
  onSettingsChanged(): void {
    this.pools.forEach((pool, service) => {
      const entry = this.settings.catalog.services.get(service);
      if (entry) pool.update(entry);
      else if (pool.queue.length === 0) this.pools.delete(service);
    });
  }
}
