//! Header names used with the test servers.

use ledgelead_router::dialect::HeaderNames;

pub fn headers() -> HeaderNames {
    let name = |name: &str| name.to_owned();
    HeaderNames {
        attempt_id: name("attempt"),
        deadline: name("deadline"),
        signature: name("signature"),
        target_instance: name("target"),
        load: name("load"),
        not_executed: name("not-executed"),
        instance: name("instance"),
        key: name("key"),
        retry_after: name("retry-after"),
        leaving: name("leaving"),
        rate_limit: name("rate-limit"),
        store_era: name("store-era"),
        caller_key: name("caller-key"),
        tenant: name("tenant"),
        handover: name("handover"),
    }
}
