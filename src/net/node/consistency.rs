//! Whether the process runs with the configuration in force. Debug builds check it in each iteration: whatever
//! the way of a change, no component may keep a value of an earlier version.

use super::listing::broker_entry;
use super::start::endpoint_idle_time;
use super::{ListSource, Node};
use crate::config::descriptors::DescriptorShares;
use crate::config::memory::MemoryShares;
use crate::config::model::{Model, PartKind};
use crate::net::admin::Admin;
use crate::net::clients::amqp::AmqpFront;
use crate::net::http::MAX_RESPONSE_BYTES;
use crate::net::list::ListEntry;
use std::net::{SocketAddr, TcpListener};

impl Node {
    /// The first part of the configuration in force that the process does not run with.
    pub(in crate::net) fn part_out_of_force(&self) -> Option<PartKind> {
        let model = self.change_service.model();
        PartKind::ALL.iter().copied().find(|&part| !self.runs_with(part, model))
    }

    fn runs_with(&self, part: PartKind, model: &Model) -> bool {
        match part {
            PartKind::Core => {
                let forwarders = model.core.settings.forwarders;
                self.engine.has_settings(&model.core)
                    && self.has_endpoint_limits(model)
                    && self.members.as_ref().is_none_or(|members| members.forwarders() == forwarders)
            }
            PartKind::Sockets => self.platform.max_connections() == DescriptorShares::of(model).clients,
            PartKind::Memory => {
                let shares = MemoryShares::of(model.memory);
                self.platform.max_buffered_bytes() == shares.clients
                    && self
                        .admin
                        .as_ref()
                        .is_none_or(|admin| admin.max_buffered_bytes() == shares.administration)
                    && self
                        .publishers
                        .as_ref()
                        .is_none_or(|front| front.max_buffered_bytes() == shares.publishers)
                    && self.watch.max_list_bytes() == shares.endpoint_list
                    && self.has_endpoint_limits(model)
            }
            PartKind::Listen => self.platform.address().is_none_or(|address| address == model.listen),
            PartKind::AmqpListen => {
                let address = self.publishers.as_ref().and_then(|front| address_of(front.listener()));
                address == model.amqp_listen
            }
            PartKind::AdminListen => {
                let listener = self.admin.as_ref().and_then(Admin::listener);
                listener.and_then(address_of) == model.admin_listen
            }
            PartKind::Members => {
                self.members.as_ref().map(|members| members.settings()) == model.members.as_ref()
            }
            PartKind::Dial => self.has_endpoint_limits(model),
            PartKind::Publishers => self
                .publishers
                .as_ref()
                .map(AmqpFront::logins)
                .is_none_or(|logins| logins == model.publishers),
            PartKind::Brokers => self.has_brokers(model),
            PartKind::Tokens => {
                self.admin.as_ref().map(Admin::tokens).is_none_or(|tokens| tokens == model.tokens)
            }
            PartKind::DnsSd => {
                let target = self.dns_sd.as_ref().map(|dns_sd| dns_sd.target());
                target == model.dns_sd.as_ref().map(|(resolver, service)| (*resolver, service.as_str()))
            }
            PartKind::Discovery => {
                (self.watch.address(), self.reports.address()) == (model.discovery, model.discovery)
            }
            // Their values are not kept by the node.
            PartKind::Disk | PartKind::Log | PartKind::Names => true,
        }
    }

    fn has_endpoint_limits(&self, model: &Model) -> bool {
        let slots = model.core.settings.slots;
        let max_connections = DescriptorShares::of(model).endpoints;
        let max_answer_bytes = MemoryShares::of(model.memory).answer_bytes(slots, MAX_RESPONSE_BYTES);
        let idle_time = endpoint_idle_time(model);
        self.servers.has_limits(model.dial_timeout, idle_time, max_connections, max_answer_bytes)
    }

    fn has_brokers(&self, model: &Model) -> bool {
        let listed: Vec<&ListEntry> = self.endpoint_list.entries_of(ListSource::OperatorsFile).collect();
        let is_listed = |broker| listed.contains(&&broker_entry(broker));
        self.brokers.has_settings(&model.brokers, model.dial_timeout)
            && listed.len() == model.brokers.len()
            && model.brokers.iter().all(is_listed)
    }
}

fn address_of(listener: &TcpListener) -> Option<SocketAddr> {
    listener.local_addr().ok()
}
