//! The order of events of each case.

use super::*;

/// The processes and stand-ins of a small deployment.
struct Deployment {
    store: Arc<Store>,
    instances: Vec<Arc<Instance>>,
    routers: Vec<Arc<Router>>,
    address: SocketAddr,
}

/// From this version on, idle connections end after two seconds.
const IDLE_CHANGE: u64 = 100;

const ZONES: [&str; 2] = ["z1", "z2"];

/// Plays a case. Returns the exit code.
pub fn play(name: &str, program: &Path, folder: &Path, trouble: bool) -> i32 {
    match name {
        "new-machine" => new_machine(program, folder, trouble),
        "stale-owner" => stale_owner(program, folder, trouble),
        "longer-grace" => longer_grace(program, folder, trouble),
        "slow-reader" => slow_reader(program, folder, trouble),
        "slow-upload" => slow_upload(program, folder, trouble),
        _ => 2,
    }
}

fn configuration(version: u64, sharded: bool, timeout_ms: u64, target_ms: u64) -> String {
    configuration_of("safe", version, sharded, timeout_ms, target_ms)
}

fn configuration_of(kind: &str, version: u64, sharded: bool, timeout_ms: u64, target_ms: u64) -> String {
    let idle_ms = if version < IDLE_CHANGE { 15_000 } else { 2_000 };
    format!(
        "{{\"generation\":\"r{version}\",\"resources\":[\
         {{\"entryType\":\"routes\",\"metadata\":{{\"name\":\"route-a\"}},\"spec\":{{\"hostname\":\"h1.example\",\"pathPrefix\":\"/a/\",\"routeType\":\"{kind}\",\"timeoutMs\":{timeout_ms},\"targetLatencyMs\":{target_ms},\"priority\":1,\"service\":\"svc\",\"maxAttempts\":2}}}},\
         {{\"entryType\":\"services\",\"metadata\":{{\"name\":\"svc\"}},\"spec\":{{\"healthPath\":\"/health\",\"maxConnections\":130,\"protocol\":\"h1\",\"tls\":false,\"sharded\":{sharded},\"warmS\":3.0,\"grants\":\"call\"}}}},\
         {{\"entryType\":\"limits\",\"metadata\":{{}},\"spec\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":67108864,\"headerTimeoutMs\":3000,\"idleTimeoutMs\":{idle_ms}}}}}]}}"
    )
}

impl Deployment {
    fn start(
        program: &Path,
        folder: &Path,
        routers: usize,
        instances: usize,
        sharded: bool,
        work_ms: u64,
        grace_s: u64,
        configuration: String,
    ) -> Option<Deployment> {
        let store = Arc::new(Store::default());
        let address = store.serve(&Arc::default());
        store.put("config", "main", configuration);
        let zone = |index: usize| ZONES[index % ZONES.len()];
        let instances: Vec<Arc<Instance>> = (0..instances)
            .map(|index| Instance::start(index, "svc", sharded, zone(index), work_ms))
            .collect();
        for instance in &instances {
            instance.register(&store, 1.5);
        }
        let ips = free_addresses(routers)?;
        let routers: Vec<Arc<Router>> = ips
            .into_iter()
            .enumerate()
            .map(|(index, ip)| Arc::new(Router::new(program, folder, index, zone(index), ip, address, grace_s)))
            .collect();
        for router in &routers {
            router.start();
        }
        let began = seconds();
        while !routers.iter().all(|router| router.is_ready()) {
            if seconds() - began > 25.0 {
                record("the routers don't get ready".to_owned());
                return None;
            }
            sleep_s(0.1);
        }
        record("all routers are ready".to_owned());
        Some(Deployment {
            store,
            instances,
            routers,
            address,
        })
    }

    /// Sends until the service answers at each router.
    fn await_service(&self, keys: &[u16]) -> bool {
        let began = seconds();
        for router in &self.routers {
            for key in keys {
                let mut client = Client::new(router.front());
                while client.send("GET", "/a/x", Some(*key), 1_000).1 != End::Answered(200) {
                    if seconds() - began > 25.0 {
                        record(format!("{} doesn't serve", router.name));
                        return false;
                    }
                    sleep_s(0.1);
                }
            }
        }
        true
    }

    fn coordinator(&self) -> Option<String> {
        let record = self.store.spec("ledgelead-ownership", "record")?;
        string(field(&record, "coordinator")?, "node")
    }

    fn end(&self) {
        for router in &self.routers {
            router.kill();
        }
    }
}

/// A client that sends to one router, on one key after the other, until it is stopped.
fn keep_sending(
    to: SocketAddr,
    keys: Vec<u16>,
    pause_s: f64,
    stop: &Arc<AtomicBool>,
) -> thread::JoinHandle<()> {
    let stop = stop.clone();
    thread::spawn(move || {
        let mut client = Client::new(to);
        let mut next = 0;
        while !stop.load(Ordering::SeqCst) {
            let key = keys[next % keys.len()];
            next += 1;
            let (id, end) = client.send("GET", "/a/x", Some(key), 800);
            if end != End::NotConnected {
                record(format!("client of {to}: {id}, key {key} -> {end:?}"));
            }
            sleep_s(pause_s);
        }
    })
}

/// OWNER. An instance leaves one grant unanswered and takes it seconds later. In between it is
/// cut from all machines, and its keys go to another instance. After it is reached again, two
/// router processes are killed and start again; their first lists of the store are stale.
fn stale_owner(program: &Path, folder: &Path, trouble: bool) -> i32 {
    const HOT_KEYS: u16 = 4;
    let configuration = configuration(5, true, 800, 300);
    let Some(all) = Deployment::start(program, folder, 5, 5, true, 5, 6, configuration) else {
        return 2;
    };
    all.store.stale_ms.store(if trouble { 4_500 } else { 0 }, Ordering::SeqCst);
    let began = seconds();
    let held = |instance: &Arc<Instance>| (0..=u16::MAX).find(|key| instance.holds(*key));
    while !all.instances.iter().all(|instance| held(instance).is_some()) {
        if seconds() - began > 20.0 {
            record("the keys have no owners".to_owned());
            return 2;
        }
        sleep_s(0.1);
    }
    let former = all.instances[0].clone();
    let first = held(&former).unwrap_or(0) + 1_000;
    let keys: Vec<u16> = (first..first + HOT_KEYS).collect();
    record(format!("keys {keys:?} are held by {}", former.id));
    if !all.await_service(&keys) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for router in &all.routers {
        senders.push(keep_sending(router.front(), keys.clone(), 0.1, &stop));
    }
    sleep_s(5.0);
    let begin = seconds();
    if trouble {
        // The next renewal, within a second. It is taken 8 s later.
        former.take_next_grant_late(first, 8.0);
        while !former.has_left_a_grant_unanswered() && seconds() - begin < 4.0 {
            sleep_s(0.005);
        }
        if !former.has_left_a_grant_unanswered() {
            record("no grant came".to_owned());
            return 2;
        }
        let unanswered = seconds();
        sleep_s(0.2);
        former.set_cut(true);
        sleep_s(6.9);
        former.set_cut(false);
        while seconds() < unanswered + 8.3 {
            sleep_s(0.01);
        }
    } else {
        sleep_s(8.3);
    }
    let next: Vec<&Arc<Instance>> = all.instances[1..]
        .iter()
        .filter(|instance| instance.holds(first))
        .collect();
    record(format!(
        "key {first}: held by {}: {}, by others: {:?}",
        former.id,
        former.holds(first),
        next.iter().map(|instance| &instance.id).collect::<Vec<_>>()
    ));
    let coordinator = all.coordinator();
    let killed: Vec<&Arc<Router>> = all
        .routers
        .iter()
        .filter(|router| Some(&router.name) != coordinator.as_ref())
        .take(2)
        .collect();
    for router in &killed {
        if trouble {
            router.kill();
        }
        for _ in 0..3 {
            senders.push(keep_sending(router.front(), keys.clone(), 0.01, &stop));
        }
    }
    sleep_s(0.15);
    if trouble {
        for router in &killed {
            router.start();
        }
    }
    sleep_s(1.5);
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    all.end();
    judge_owners(&all, &keys)
}

/// OWNER. A machine is added while the store turns it away: its first lists are answered, its
/// registration and everything after them is not. Meanwhile an instance leaves one grant
/// unanswered, is cut from all machines, and takes the grant after the cut.
fn new_machine(program: &Path, folder: &Path, trouble: bool) -> i32 {
    const HOT_KEYS: u16 = 4;
    /// How long the store turns the machine away.
    const TURNED_AWAY_S: f64 = 8.9;
    let configuration = configuration(5, true, 800, 300);
    let Some(all) = Deployment::start(program, folder, 4, 5, true, 5, 6, configuration) else {
        return 2;
    };
    let began = seconds();
    let held = |instance: &Arc<Instance>| (0..=u16::MAX).find(|key| instance.holds(*key));
    while !all.instances.iter().all(|instance| held(instance).is_some()) {
        if seconds() - began > 20.0 {
            record("the keys have no owners".to_owned());
            return 2;
        }
        sleep_s(0.1);
    }
    let former = all.instances[0].clone();
    let first = held(&former).unwrap_or(0) + 1_000;
    let keys: Vec<u16> = (first..first + HOT_KEYS).collect();
    record(format!("keys {keys:?} are held by {}", former.id));
    if !all.await_service(&keys) {
        return 2;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let mut senders = Vec::new();
    for router in &all.routers {
        senders.push(keep_sending(router.front(), keys.clone(), 0.1, &stop));
    }
    sleep_s(5.0);
    let gate = Arc::new(Gate::default());
    let Some(ips) = free_addresses(1) else {
        return 2;
    };
    let address = all.store.serve(&gate);
    let added = Router::new(program, folder, 4, ZONES[0], ips[0], address, 6);
    let away = seconds();
    if trouble {
        record(format!("the store answers 429 to writes of {}", added.name));
        gate.refuses_writes.store(true, Ordering::SeqCst);
    }
    added.start();
    while !added.is_ready() {
        if seconds() - away > 3.0 {
            record(format!("{} doesn't get ready", added.name));
            return 2;
        }
        sleep_s(0.01);
    }
    record(format!("{} is ready", added.name));
    for _ in 0..2 {
        senders.push(keep_sending(added.front(), keys.clone(), 0.03, &stop));
    }
    sleep_s(0.1);
    if trouble {
        record(format!("the store answers 429 to all calls of {}", added.name));
        gate.refuses_all.store(true, Ordering::SeqCst);
        // The next renewal, within a second. It is taken 5.8 s later.
        former.take_next_grant_late(first, 5.8);
        while !former.has_left_a_grant_unanswered() {
            if seconds() - away > 3.0 {
                record("no grant came".to_owned());
                return 2;
            }
            sleep_s(0.005);
        }
        sleep_s(0.1);
        former.set_cut(true);
        sleep_s(5.2);
        former.set_cut(false);
    }
    sleep_s(away + TURNED_AWAY_S - seconds());
    stop.store(true, Ordering::SeqCst);
    for sender in senders {
        let _ = sender.join();
    }
    added.kill();
    all.end();
    judge_owners(&all, &keys)
}

/// Whether two instances held the same key at the same time, and each started requests on it
/// during that time.
fn judge_owners(all: &Deployment, keys: &[u16]) -> i32 {
    let runs = RUNS.lock().unwrap().clone();
    let mut code = 0;
    for key in keys {
        for (left_index, left) in all.instances.iter().enumerate() {
            for right in &all.instances[left_index + 1..] {
                for one in left.spans(*key) {
                    for other in right.spans(*key) {
                        let (from, to) = (one.0.max(other.0), one.1.min(other.1));
                        if from >= to {
                            continue;
                        }
                        let within = |instance: &Instance| -> Vec<&Run> {
                            let is_meant = |run: &&Run| {
                                run.instance == instance.index
                                    && run.key == Some(*key)
                                    && (from..to).contains(&run.at)
                            };
                            runs.iter().filter(is_meant).collect()
                        };
                        let (by_left, by_right) = (within(left), within(right));
                        record(format!(
                            "key {key} is held by {} and {} from {from:.3} to {to:.3}; they start {} and {} requests on it",
                            left.id, right.id, by_left.len(), by_right.len()
                        ));
                        if !by_left.is_empty() && !by_right.is_empty() {
                            code = 1;
                            record(format!(
                                "OWNER: key {key}: {} starts {} at {:.3}, {} starts {} at {:.3}",
                                left.id, by_left[0].id, by_left[0].at, right.id, by_right[0].id, by_right[0].at
                            ));
                        }
                    }
                }
            }
        }
    }
    code
}

/// LOST. The operator lengthens the grace for a stop in the settings file and says so by SIGHUP.
/// Later a process is stopped by SIGTERM while requests are at work.
fn longer_grace(program: &Path, folder: &Path, trouble: bool) -> i32 {
    const SHORT_S: u64 = 6;
    const LONG_S: u64 = 12;
    let configuration = configuration(5, false, 10_000, 9_000);
    let first_grace = if trouble { SHORT_S } else { LONG_S };
    let Some(all) = Deployment::start(program, folder, 2, 6, false, 5, first_grace, configuration) else {
        return 2;
    };
    if !all.await_service(&[0]) {
        return 2;
    }
    sleep_s(2.0);
    let stopped = all.routers[0].clone();
    if trouble {
        stopped.write_settings(ZONES[0], all.address, LONG_S);
        record(format!("{}: bounds.graceS is {LONG_S} now, was {SHORT_S}", stopped.name));
        stopped.signal("HUP");
    }
    // Longer than `contactMs`, `configApplyMs` and the interval in which the file is read.
    sleep_s(6.0);
    for instance in &all.instances {
        instance.work_ms.store(6_000, Ordering::SeqCst);
    }
    let mut clients: Vec<Client> = (0..6).map(|_| Client::new(stopped.front())).collect();
    if !clients.iter_mut().all(Client::connect) {
        return 2;
    }
    sleep_s(0.3);
    let term = seconds();
    stopped.signal("TERM");
    sleep_s(1.0);
    let senders: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let sent = seconds();
                let (id, end) = client.send("GET", "/a/x", None, 10_000);
                record(format!(
                    "client: {id} sent {:.3} s after SIGTERM -> {end:?} {:.3} s after SIGTERM",
                    sent - term,
                    seconds() - term
                ));
                (id, end, seconds() - term)
            })
        })
        .collect();
    let process = stopped.clone();
    let watch = thread::spawn(move || {
        while !process.has_ended() && seconds() - term < LONG_S as f64 {
            sleep_s(0.01);
        }
        record(format!("the process ends {:.3} s after SIGTERM", seconds() - term));
        process.kill();
    });
    let ends: Vec<(String, End, f64)> = senders.into_iter().filter_map(|sender| sender.join().ok()).collect();
    let _ = watch.join();
    all.end();
    let runs = RUNS.lock().unwrap().clone();
    let last_sixth = LONG_S as f64 * 5.0 / 6.0;
    let lost: Vec<&(String, End, f64)> = ends
        .iter()
        .filter(|(id, end, at)| {
            // Passed on to an instance, and not one of the excuses.
            *end == End::Closed && *at < last_sixth && runs.iter().any(|run| run.id == *id)
        })
        .collect();
    for (id, _, at) in &lost {
        record(format!(
            "LOST: {id} was at work at an instance; its connection closed without an answer {at:.3} s after SIGTERM, graceS is {LONG_S}"
        ));
    }
    i32::from(!lost.is_empty())
}

/// LOST. A process is stopped by SIGTERM. A client uploads to it, and the instance that gets the
/// upload is a slow reader: it reads nothing for two seconds, and goes on.
fn slow_upload(program: &Path, folder: &Path, trouble: bool) -> i32 {
    const GRACE_S: u64 = 6;
    const BODY_BYTES: usize = 24 << 20;
    const DEADLINE_MS: u64 = 4_000;
    let configuration = configuration_of("unsafe", 5, false, DEADLINE_MS, 2_000);
    let Some(all) = Deployment::start(program, folder, 2, 6, false, 20, GRACE_S, configuration) else {
        return 2;
    };
    if !all.await_service(&[0]) {
        return 2;
    }
    sleep_s(4.0);
    for instance in &all.instances {
        instance.pause_ms.store(if trouble { 2_000 } else { 0 }, Ordering::SeqCst);
    }
    let stopped = all.routers[0].clone();
    let mut clients: Vec<Client> = (0..2).map(|_| Client::new(stopped.front())).collect();
    if !clients.iter_mut().all(Client::connect) {
        return 2;
    }
    let term = seconds();
    stopped.signal("TERM");
    sleep_s(0.5);
    let senders: Vec<_> = clients
        .into_iter()
        .map(|mut client| {
            thread::spawn(move || {
                let sent = seconds();
                let body = vec![b'x'; BODY_BYTES];
                let (id, end) = client.send_body("POST", "/a/upload", None, DEADLINE_MS, &body);
                let ended = seconds();
                record(format!(
                    "client: {id}, {BODY_BYTES} bytes, sent {:.3} s after SIGTERM -> {end:?} {:.3} s after SIGTERM",
                    sent - term,
                    ended - term
                ));
                (id, end, ended - sent)
            })
        })
        .collect();
    let ends: Vec<(String, End, f64)> = senders.into_iter().filter_map(|sender| sender.join().ok()).collect();
    while !stopped.has_ended() && seconds() - term < GRACE_S as f64 {
        sleep_s(0.01);
    }
    record(format!("the process has ended {:.3} s after SIGTERM", seconds() - term));
    sleep_s(1.0);
    all.end();
    let runs = RUNS.lock().unwrap().clone();
    let mut code = 0;
    for (id, end, took) in &ends {
        let began = runs.iter().any(|run| run.id == *id);
        // Neither the client's deadline nor the route's timeout was reached.
        let in_time = *took < DEADLINE_MS as f64 / 1_000.0 - 0.3;
        let own_answer = matches!(end, End::Answered(502..=504) | End::Closed);
        if began && in_time && own_answer {
            code = 1;
            record(format!(
                "LOST: {id}: its instance was working on it, and the client got {end:?} after {took:.3} s of {DEADLINE_MS} ms"
            ));
        } else if *end != End::Answered(200) {
            record(format!("{id} ended as {end:?}, which isn't counted"));
        }
    }
    code
}

/// LOST. The operator shortens `idleTimeoutMs`. Clients that read their answers slowly at first,
/// but without a pause, are cut in the middle of them.
fn slow_reader(program: &Path, folder: &Path, trouble: bool) -> i32 {
    const DEADLINE_MS: u64 = 8_000;
    const ANSWER_BYTES: u64 = 24 << 20;
    const BYTES_PER_S: f64 = 4.0 * 1_048_576.0;
    /// A client reads faster then.
    const SLOW_S: f64 = 2.7;
    /// `configApplyMs` + 1 s: until then after its acknowledgement a configuration is planned work.
    const PLANNED_S: f64 = 3.0;
    const CLIENTS: usize = 2;
    let first = configuration(5, false, DEADLINE_MS, 2_000);
    let Some(all) = Deployment::start(program, folder, 2, 6, false, 20, 6, first) else {
        return 2;
    };
    if !all.await_service(&[0]) {
        return 2;
    }
    for instance in &all.instances {
        instance.answer_bytes.store(ANSWER_BYTES, Ordering::SeqCst);
    }
    let router = all.routers[0].clone();
    let round = |name: &str, counted_until: f64| -> (usize, usize) {
        let readers: Vec<_> = (0..CLIENTS)
            .map(|_| {
                let mut client = Client::new(router.front());
                let name = name.to_owned();
                thread::spawn(move || {
                    let began = seconds();
                    let (id, status, received, length) = client.read_slowly("/a/x", DEADLINE_MS, BYTES_PER_S, SLOW_S);
                    let took = seconds() - began;
                    record(format!(
                        "client, {name}: {id} -> {status:?}, {received} of {length} bytes in {took:.3} s of {DEADLINE_MS} ms"
                    ));
                    let is_whole = status == Some(200) && received == length;
                    // A request that has used seven tenths of its time isn't counted.
                    let in_time = took < 0.7 * DEADLINE_MS as f64 / 1_000.0 && seconds() < counted_until;
                    let is_cut = status == Some(200) && !is_whole && in_time;
                    (is_whole, is_cut)
                })
            })
            .collect();
        let ends: Vec<(bool, bool)> = readers.into_iter().filter_map(|reader| reader.join().ok()).collect();
        let whole = ends.iter().filter(|(whole, _)| *whole).count();
        let cut = ends.iter().filter(|(_, cut)| *cut).count();
        (whole, cut)
    };
    let before = round("before the change", f64::MAX);
    record(format!("before the change: {} whole, {} cut", before.0, before.1));
    if before.0 != CLIENTS {
        return 2;
    }
    sleep_s(1.0);
    if trouble {
        // Of the later version, only `idleTimeoutMs` differs.
        all.store.put("config", "main", configuration(IDLE_CHANGE, false, DEADLINE_MS, 2_000));
        record("the operator's version r100 is acknowledged: idleTimeoutMs is 2000 now, was 15000".to_owned());
    }
    let acknowledged = seconds();
    let after = round("after the change", acknowledged + PLANNED_S);
    record(format!("{:.3} s after the acknowledgement", seconds() - acknowledged));
    record(format!("after the change: {} whole, {} cut", after.0, after.1));
    all.end();
    let is_lost = after.1 > 3 * before.1;
    if is_lost {
        record(format!(
            "LOST: {} answers of instances were cut by the router in the middle, {} before the change",
            after.1, before.1
        ));
    }
    i32::from(is_lost)
}
