//! Probes, suspicion and its end.

use std::{net::SocketAddr, time::Instant};

use rand::seq::{IndexedRandom, IteratorRandom};
use types::NodeId;

use crate::{
    MemberAction, MemberState, MessageKind,
    machine::{JOIN_SEEDS, MembershipProtocol},
    probe::{PendingProbe, ProbeOrigin, ProbeStage},
};

impl MembershipProtocol {
    pub(super) fn probe_round(&mut self, now: Instant) {
        let targets = self.order.next(&self.table, &self.own.node, &mut self.rng);
        for target in targets {
            let probe = self.probes.open(PendingProbe {
                target: target.clone(),
                stage: ProbeStage::Direct,
                due: now + self.settings.probe_timeout,
            });
            self.send_to(&target, MessageKind::Ping { probe });
        }
        if self.table.present().count() == 1 {
            let seeds: Vec<_> = self
                .seeds
                .sample(&mut self.rng, JOIN_SEEDS)
                .copied()
                .collect();
            for seed in seeds {
                self.ping_seed(seed);
            }
        }
    }

    /// Asks one member that is thought gone, or a seed that is no member, so
    /// that the sides of a partition find each other again.
    pub(super) fn probe_gone(&mut self) {
        let dead = self.table.entries().map(|entry| &entry.record);
        let dead = dead.filter(|record| record.state == MemberState::Dead);
        let mut addresses: Vec<_> = dead.map(|record| record.addresses.datagram).collect();
        let known: Vec<_> = self
            .table
            .present()
            .map(|record| record.addresses.datagram)
            .collect();
        let unknown = self.seeds.iter().filter(|seed| !known.contains(seed));
        addresses.extend(unknown);
        if let Some(address) = addresses.choose(&mut self.rng).copied() {
            self.ping_seed(address);
        }
    }

    pub(super) fn ping_seed(&mut self, address: SocketAddr) {
        if address == self.own.addresses.datagram {
            return;
        }
        let probe = self.probes.unawaited();
        let named = self.table.entries().find(|entry| {
            !entry.record.state.is_present() && entry.record.addresses.datagram == address
        });
        let recipient = named.map(|entry| entry.record.node.clone());
        self.send(address, recipient, MessageKind::Ping { probe });
    }

    pub(super) fn expire_probes(&mut self, now: Instant) {
        for (number, probe) in self.probes.expired(now) {
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
            .sample(&mut self.rng, self.settings.indirect_probes);
        for helper in helpers {
            let kind = MessageKind::PingRequest {
                probe: number,
                target: probe.target.clone(),
                address,
            };
            self.send_to(&helper, kind);
        }
        // A second direct ping costs little and saves an answer lost once.
        self.send_to(&probe.target, MessageKind::Ping { probe: number });
        let later = PendingProbe {
            stage: ProbeStage::Indirect,
            due: now + self.settings.indirect_timeout,
            ..probe
        };
        self.probes.reopen(number, later);
    }

    pub(super) fn suspect(&mut self, now: Instant, node: &NodeId) {
        self.mark(now, node, MemberState::Suspect);
    }

    pub(super) fn expire_suspects(&mut self, now: Instant) {
        let limit = self.settings.suspicion_time;
        let overdue: Vec<_> = self
            .table
            .entries()
            .filter(|entry| entry.record.state == MemberState::Suspect)
            .filter(|entry| {
                let since = entry.changed.max(self.resumed);
                now.saturating_duration_since(since) >= limit
            })
            .map(|entry| entry.record.node.clone())
            .collect();
        for node in overdue {
            self.mark(now, &node, MemberState::Dead);
        }
    }

    pub(super) fn mark(&mut self, now: Instant, node: &NodeId, state: MemberState) {
        if *node == self.own.node || !self.table.mark(now, node, state) {
            return;
        }
        if let Some(entry) = self.table.get(node) {
            let record = entry.record.clone();
            self.updates.push(node.clone(), record.clone());
            self.actions.push(MemberAction::Changed(record));
        }
    }

    pub(super) fn acknowledge(&mut self, probe: u64) {
        let Some(probe) = self.probes.close(probe) else {
            return;
        };
        if let ProbeStage::Relayed(origin) = probe.stage {
            let kind = MessageKind::Ack {
                probe: origin.probe,
            };
            self.send(origin.address, Some(origin.node), kind);
        }
    }

    pub(super) fn relay_ping(
        &mut self,
        now: Instant,
        origin: ProbeOrigin,
        target: NodeId,
        address: SocketAddr,
    ) {
        let wait = self.settings.probe_timeout + self.settings.indirect_timeout;
        let probe = self.probes.open(PendingProbe {
            target: target.clone(),
            stage: ProbeStage::Relayed(origin),
            due: now + wait,
        });
        self.send(address, Some(target), MessageKind::Ping { probe });
    }
}
