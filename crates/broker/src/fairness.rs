//! Order of the requests of several workspaces: start-time fair queueing.
//!
//! Each request gets a tag when it arrives: the virtual time, or the end of the previous request of its workspace if that is later. The
//! virtual time is the tag of the request served last. A workspace that sends many times its usual load delays its own requests, and one
//! that sends little finds itself at the front.

use fulmarlift_core::id;
use fulmarlift_core::sorted;

/// Virtual time that a request takes, the same for all workspaces: a request occupies a slot for about the same time whoever sent it.
const REQUEST_COST: u64 = 1;

/// Tag of a request; the lowest is served first among requests of the same priority.
pub type Tag = u64;

/// Tags of the waiting requests of one group.
#[derive(Clone, Debug, Default)]
pub struct FairOrder {
    virtual_time: Tag,
    /// End of the last request of each workspace, for workspaces whose last request ends after the virtual time.
    ends: sorted::Map<id::WorkspaceId, Tag>,
    /// Tags of waiting requests of workspaces.
    tags: sorted::Map<id::RequestId, (id::WorkspaceId, Tag)>,
}

impl FairOrder {
    /// Gives a request of a workspace its tag.
    pub fn add(&mut self, request: id::RequestId, workspace: id::WorkspaceId) {
        let tag = self.next_tag(workspace);
        self.ends.insert(workspace, tag + REQUEST_COST);
        self.tags.insert(request, (workspace, tag));
    }

    /// Returns the tag that the next request of a workspace gets; that of a request without a workspace is the virtual time.
    pub fn next_tag(&self, workspace: id::WorkspaceId) -> Tag {
        let end = self.ends.get(workspace).copied();
        end.unwrap_or_default().max(self.virtual_time)
    }

    /// Returns the tag of a waiting request.
    pub fn tag(&self, request: id::RequestId) -> Tag {
        let tag = self.tags.get(request);
        tag.map_or(self.virtual_time, |(_, tag)| *tag)
    }

    /// Moves the later requests of a workspace, and its end, before a request that is not served.
    fn give_up(&mut self, workspace: id::WorkspaceId, tag: Tag) {
        for (_, (other, later)) in self.tags.iter_mut() {
            if *other == workspace && *later > tag {
                *later -= REQUEST_COST;
            }
        }
        if let Some(end) = self.ends.get_mut(workspace) {
            *end = end.saturating_sub(REQUEST_COST);
        }
    }

    /// Removes a request that has been served, or that waits no longer.
    pub fn remove(&mut self, request: id::RequestId, is_served: bool) {
        let Some((workspace, tag)) = self.tags.remove(request) else {
            return;
        };
        match is_served {
            true => self.virtual_time = self.virtual_time.max(tag),
            // What was not served does not delay the next requests of its workspace.
            false => self.give_up(workspace, tag),
        }
        let virtual_time = self.virtual_time;
        match self.tags.is_empty() {
            // Without a waiting request nobody is behind another one.
            true => *self = Self::default(),
            false => self.ends.retain(|_, end| *end > virtual_time),
        }
    }
}
