/** The storage of a control daemon, on a disk that can be full. */
import {rmSync} from 'node:fs';
import {err} from 'neverthrow';
import {
  openFileStorage,
  type OpenedStorage,
  type ReplicaStorage,
} from '@samphirefield/replication';

const FULL = 'ENOSPC: no space left on device';

export class TestDisk {
  isFull = false;
  /** Writes that were refused. */
  refused = 0;

  async open(folder: string): ReturnType<typeof openFileStorage> {
    const opened = await openFileStorage(folder);
    if (opened.isErr()) return opened;
    if (this.isFull && opened.value.isNew) {
      await opened.value.storage.close();
      rmSync(folder, {recursive: true});
      return err({kind: 'disk', file: folder, reason: FULL});
    }
    return opened.map(value => this.limit(value));
  }

  /** As the storage of files, it refuses for good after its first failure. */
  private limit({storage, ...rest}: OpenedStorage): OpenedStorage {
    let hasFailed = false;
    const check = () => {
      hasFailed ||= this.isFull;
      if (!hasFailed) return;
      this.refused += 1;
      throw new Error(FULL);
    };
    const limited: ReplicaStorage = {
      append: async batch => {
        check();
        await storage.append(batch);
      },
      replaceWithSnapshot: async (...args) => {
        check();
        await storage.replaceWithSnapshot(...args);
      },
      close: () => storage.close(),
    };
    return {...rest, storage: limited};
  }
}
