export {
  announcementSchema,
  cacheEventSchema,
  type Announcement,
  type CacheEvent,
} from './announcement.js';
