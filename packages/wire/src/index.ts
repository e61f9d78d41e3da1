export * from './generated/hibiscusbeam/v1/site';
export {
  FleetAgentClient,
  FleetAgentService,
  FleetEntryClient,
  FleetEntryService,
  type Announcement,
  type AnnouncementReply,
  type EngineModelVersion,
  type EngineReport,
  type EngineReportReply,
  type EntryGreeting,
  type VersionNaming,
  type FleetAgentServer,
  type FleetEntryServer,
} from './generated/hibiscusbeam/v1/fleet';
