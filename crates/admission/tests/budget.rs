//! The budget of descriptors and bytes, compared with a list of the open leases.

use slatelink_admission::{Budget, ByteReservation, ConnectionKind, Lease, LeaseError, Quota};

/// A lease with its kind and expected number of bytes.
struct TrackedLease {
    kind: ConnectionKind,
    bytes: usize,
    lease: Lease,
}

/// A random budget and its expected leases.
struct Model {
    seed: u64,
    random: fastrand::Rng,
    max_descriptors: usize,
    quotas: [Quota; 3],
    max_bytes: usize,
    budget: Budget,
    leased: Vec<TrackedLease>,
    /// Reservations beside the leases, with their bytes.
    reserved: Vec<(usize, ByteReservation)>,
}

impl Model {
    fn new(seed: u64) -> Self {
        let mut random = fastrand::Rng::with_seed(seed);
        let max_descriptors = random.usize(3..60);
        let quotas = ConnectionKind::ALL.map(|_| {
            let reserved = random.usize(0..=max_descriptors / 3);
            Quota {
                reserved,
                limit: random.usize(reserved..=max_descriptors),
            }
        });
        let max_bytes = random.usize(0..10_000);
        let budget = Budget::new(max_descriptors, quotas, max_bytes);
        Self {
            seed,
            random,
            max_descriptors,
            quotas,
            max_bytes,
            budget: budget.expect("the reservations, at most a third each, fit"),
            leased: Vec::new(),
            reserved: Vec::new(),
        }
    }

    fn step(&mut self) {
        match self.random.u8(0..6) {
            0 | 1 => self.lease(),
            4 => self.reserve(),
            5 if !self.reserved.is_empty() => {
                let index = self.random.usize(0..self.reserved.len());
                self.reserved.swap_remove(index);
            }
            2 if !self.leased.is_empty() => {
                let index = self.random.usize(0..self.leased.len());
                self.leased.swap_remove(index);
            }
            _ if !self.leased.is_empty() => self.set_bytes(),
            _ => {}
        }
    }

    fn lease(&mut self) {
        let kind = ConnectionKind::ALL[self.random.usize(0..3)];
        match self.budget.lease(kind) {
            Ok(lease) => self.leased.push(TrackedLease {
                kind,
                bytes: 0,
                lease,
            }),
            Err(_) => assert!(
                self.descriptors(kind) >= self.quotas[kind as usize].reserved,
                "seed {}: a descriptor within the reservation was not leased",
                self.seed
            ),
        }
    }

    fn set_bytes(&mut self) {
        let requested_bytes = self.random.usize(0..2_000);
        let total_bytes = self.bytes();
        let index = self.random.usize(0..self.leased.len());
        let leased = &mut self.leased[index];
        let fits = requested_bytes <= leased.bytes
            || total_bytes - leased.bytes + requested_bytes <= self.max_bytes;
        assert_eq!(
            leased.lease.try_set_bytes(requested_bytes),
            fits,
            "seed {}",
            self.seed
        );
        if fits {
            leased.bytes = requested_bytes;
        }
    }

    fn reserve(&mut self) {
        let requested_bytes = self.random.usize(0..2_000);
        let fits = self.bytes() + requested_bytes <= self.max_bytes;
        let reservation = self.budget.reserve_bytes(requested_bytes);
        assert_eq!(reservation.is_some(), fits, "seed {}", self.seed);
        self.reserved
            .extend(reservation.map(|reservation| (requested_bytes, reservation)));
    }

    fn descriptors(&self, kind: ConnectionKind) -> usize {
        let of_kind = |leased: &&TrackedLease| leased.kind == kind;
        self.leased.iter().filter(of_kind).count()
    }

    fn bytes(&self) -> usize {
        let leased: usize = self.leased.iter().map(|leased| leased.bytes).sum();
        let reserved: usize = self.reserved.iter().map(|(bytes, _)| bytes).sum();
        leased + reserved
    }

    fn check(&self) {
        let seed = self.seed;
        let descriptors = ConnectionKind::ALL.map(|kind| self.descriptors(kind));
        assert_eq!(self.budget.usage().descriptors, descriptors, "seed {seed}");
        assert_eq!(self.budget.usage().bytes, self.bytes(), "seed {seed}");
        assert!(
            descriptors.iter().sum::<usize>() <= self.max_descriptors,
            "seed {seed}"
        );
        assert!(
            ConnectionKind::ALL
                .iter()
                .all(|kind| descriptors[*kind as usize] <= self.budget.max_descriptors(*kind)),
            "seed {seed}"
        );
    }
}

// Guards against leaked or doubly released leases, and against a kind that cannot lease its
// reserved descriptors because other kinds hold them.
#[test]
fn reservations_stay_available_and_dropped_leases_are_released() {
    for seed in 0..200 {
        let mut model = Model::new(seed);
        for _ in 0..2_000 {
            model.step();
            model.check();
        }
        model.leased.clear();
        model.reserved.clear();
        assert_eq!(
            model.budget.usage(),
            Default::default(),
            "seed {seed}: descriptors or bytes are still leased"
        );
    }
}

// Guards against evicting connections of the requesting kind while another kind exceeds its
// reservation by more.
#[test]
fn lease_error_names_the_kind_that_exceeds_its_reservation_by_the_most() {
    let quota = |reserved| Quota {
        reserved,
        limit: 12,
    };
    let budget = Budget::new(12, [quota(4), quota(4), quota(0)], 0).expect("the quotas fit");
    let lease = |kind, count| {
        (0..count)
            .map(|_| budget.lease(kind).expect("a descriptor is free"))
            .collect::<Vec<_>>()
    };
    let clients = lease(ConnectionKind::Client, 4);
    let mut upstreams = lease(ConnectionKind::Upstream, 8);
    assert_eq!(
        budget.lease(ConnectionKind::Client).err(),
        Some(LeaseError::OtherKind(ConnectionKind::Upstream))
    );
    assert_eq!(
        budget.lease(ConnectionKind::Upstream).err(),
        Some(LeaseError::OwnLimit)
    );
    upstreams.pop();
    assert!(budget.lease(ConnectionKind::Client).is_ok());
    drop(clients);
    assert_eq!(
        budget.max_descriptors(ConnectionKind::Client),
        8,
        "descriptors reserved for upstream connections are not available to clients"
    );
    assert!(
        Budget::new(7, [quota(4), quota(4), quota(0)], 0).is_none(),
        "the sum of the reservations exceeds the number of descriptors"
    );
}
