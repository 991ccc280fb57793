//! Failure detection: direct and indirect probes, suspicion and its timeout.

use std::{net::SocketAddr, time::Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use types::NodeId;

use crate::{
    MemberAction, MemberState, MessageKind,
    machine::{MembershipProtocol, SEEDS_PER_JOIN_ROUND},
    probe::{PendingProbe, ProbeRequester, ProbeStage},
};

impl MembershipProtocol {
    pub(super) fn probe_round(&mut self, now: Instant) {
        let targets = self
            .probe_schedule
            .next(&self.table, &self.own.node, &mut self.rng);
        for target in targets {
            let probe = self.probes.start(PendingProbe {
                target: target.clone(),
                stage: ProbeStage::Direct,
                deadline: now + self.settings.probe_timeout,
            });
            self.send_to(&target, MessageKind::Ping { probe });
        }
        if self.table.present().count() == 1 {
            let seeds: Vec<_> = self
                .seeds
                .sample(&mut self.rng, SEEDS_PER_JOIN_ROUND)
                .copied()
                .collect();
            for seed in seeds {
                self.ping_address(seed);
            }
        }
    }

    /// Pings one dead member or one seed that is no present member, so that the sides
    /// of a healed partition find each other again.
    pub(super) fn probe_gone_member(&mut self) {
        let dead_members = self.table.entries().map(|entry| &entry.record);
        let dead_members = dead_members.filter(|record| record.state == MemberState::Dead);
        let mut addresses: Vec<_> = dead_members
            .map(|record| record.addresses.datagram)
            .collect();
        let present: Vec<_> = self
            .table
            .present()
            .map(|record| record.addresses.datagram)
            .collect();
        let other_seeds = self.seeds.iter().filter(|seed| !present.contains(seed));
        addresses.extend(other_seeds);
        if let Some(address) = addresses.choose(&mut self.rng).copied() {
            self.ping_address(address);
        }
    }

    /// Pings an address whose node may be unknown or gone; the answer is not tracked.
    pub(super) fn ping_address(&mut self, address: SocketAddr) {
        if address == self.own.addresses.datagram {
            return;
        }
        let probe = self.probes.untracked_number();
        let gone_member = self.table.entries().find(|entry| {
            !entry.record.state.is_present() && entry.record.addresses.datagram == address
        });
        let recipient = gone_member.map(|entry| entry.record.node.clone());
        self.send(address, recipient, MessageKind::Ping { probe });
    }

    pub(super) fn expire_probes(&mut self, now: Instant) {
        for (number, probe) in self.probes.take_expired(now) {
            match probe.stage {
                ProbeStage::Direct => self.probe_indirectly(now, number, probe),
                ProbeStage::Indirect => self.suspect(now, &probe.target),
                ProbeStage::Relayed(_) => {}
            }
        }
    }

    pub(super) fn probe_indirectly(&mut self, now: Instant, number: u64, probe: PendingProbe) {
        let Some(target) = self.table.get(&probe.target) else {
            return;
        };
        let address = target.record.addresses.datagram;
        let helpers: Vec<_> = self
            .table
            .present()
            .filter(|record| record.node != self.own.node && record.node != probe.target)
            .filter(|record| record.state != MemberState::Suspect)
            .map(|record| record.node.clone())
            .sample(&mut self.rng, self.settings.indirect_probe_count);
        for helper in helpers {
            let kind = MessageKind::PingRequest {
                probe: number,
                target: probe.target.clone(),
                address,
            };
            self.send_to(&helper, kind);
        }
        // A second direct ping costs little and covers the loss of one datagram.
        self.send_to(&probe.target, MessageKind::Ping { probe: number });
        let indirect_probe = PendingProbe {
            stage: ProbeStage::Indirect,
            deadline: now + self.settings.indirect_timeout,
            ..probe
        };
        self.probes.restart(number, indirect_probe);
    }

    pub(super) fn suspect(&mut self, now: Instant, node: &NodeId) {
        self.set_member_state(now, node, MemberState::Suspect);
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let timeout = self.settings.suspicion_timeout;
        let overdue: Vec<_> = self
            .table
            .entries()
            .filter(|entry| entry.record.state == MemberState::Suspect)
            .filter(|entry| {
                let since = entry.changed_at.max(self.resumed_at);
                now.saturating_duration_since(since) >= timeout
            })
            .map(|entry| entry.record.node.clone())
            .collect();
        for node in overdue {
            self.set_member_state(now, &node, MemberState::Dead);
        }
    }

    pub(super) fn set_member_state(&mut self, now: Instant, node: &NodeId, state: MemberState) {
        if *node == self.own.node || !self.table.set_state(now, node, state) {
            return;
        }
        if let Some(entry) = self.table.get(node) {
            let record = entry.record.clone();
            self.update_queue.push(node.clone(), record.clone());
            self.actions.push(MemberAction::MemberChanged(record));
        }
    }

    pub(super) fn complete_probe(&mut self, probe: u64) {
        let Some(probe) = self.probes.take(probe) else {
            return;
        };
        if let ProbeStage::Relayed(requester) = probe.stage {
            let kind = MessageKind::Ack {
                probe: requester.probe,
            };
            self.send(requester.address, Some(requester.node), kind);
        }
    }

    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        requester: ProbeRequester,
        target: NodeId,
        address: SocketAddr,
    ) {
        let timeout = self.settings.probe_timeout + self.settings.indirect_timeout;
        let probe = self.probes.start(PendingProbe {
            target: target.clone(),
            stage: ProbeStage::Relayed(requester),
            deadline: now + timeout,
        });
        self.send(address, Some(target), MessageKind::Ping { probe });
    }
}
