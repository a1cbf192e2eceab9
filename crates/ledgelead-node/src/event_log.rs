//! Writes the core's events as log records.

use crate::logging::{EVENT_TARGET, JsonFields};
use ledgelead_types::Outcome;
use ledgelead_types::event::Event;

/// Writes one event.
pub fn write(event: &Event) {
    let level = level_of(event);
    if !log::log_enabled!(target: EVENT_TARGET, level) {
        return;
    }
    let fields = fields_of(event);
    log::log!(target: EVENT_TARGET, level, "{fields}");
}

fn level_of(event: &Event) -> log::Level {
    match event {
        Event::RequestFinished {
            outcome: Outcome::Answered,
            ..
        } => log::Level::Debug,
        Event::LeaseLapsed { .. }
        | Event::ConfigurationRefused { .. }
        | Event::PlatformReachable { reachable: false } => log::Level::Warn,
        _ => log::Level::Info,
    }
}

fn fields_of(event: &Event) -> JsonFields {
    let fields = JsonFields::new().text("event", event.name());
    match event {
        Event::LeaderElected { group, epoch, term } => fields
            .text("group", group)
            .number("epoch", epoch.0)
            .number("term", term.0),
        Event::LeaderSteppedDown { group, term } => {
            fields.text("group", group).number("term", term.0)
        }
        Event::GroupFormed { group, epoch } => fields.text("group", group).number("epoch", epoch.0),
        Event::MembershipChanged { group, members } => {
            let members: Vec<String> = members.iter().map(ToString::to_string).collect();
            fields
                .text("group", group)
                .text("members", members.join(" "))
        }
        Event::OwnerChanged {
            group,
            range,
            from,
            to,
            token,
            after_loss,
        } => fields
            .text("group", group)
            .text("first", format!("{:016x}", range.first.0))
            .text("last", format!("{:016x}", range.last.0))
            .optional_text("from", from.as_ref())
            .optional_text("to", to.as_ref())
            .text("token", token)
            .flag("after_loss", *after_loss),
        Event::SliceRegained {
            group,
            range,
            unavailable,
        } => fields
            .text("group", group)
            .text("first", format!("{:016x}", range.first.0))
            .text("last", format!("{:016x}", range.last.0))
            .number("unavailable_us", unavailable.as_micros()),
        Event::LeaseLapsed { group, server } => fields.text("group", group).text("server", server),
        Event::ServerStatusChanged { server, status } => fields
            .text("server", server)
            .text("status", format!("{status:?}").to_lowercase()),
        Event::ConfigurationApplied { version } => fields.number("version", version.0),
        Event::ConfigurationRefused { version, findings } => fields
            .number("version", *version)
            .text("findings", findings.join("; ")),
        Event::PlatformReachable { reachable } => fields.flag("reachable", *reachable),
        Event::NodeStatusChanged { node, live } => fields.text("subject", node).flag("live", *live),
        Event::RequestFinished {
            request,
            service,
            tier,
            outcome,
            attempts,
            latency,
        } => fields
            .text("request", request)
            .optional_text("service", service.as_ref())
            .text("tier", tier)
            .text("outcome", outcome)
            .number("attempts", u64::from(*attempts))
            .number("latency_us", latency.as_micros()),
        Event::RequestRetried { request, attempt } => fields
            .text("request", request)
            .number("attempt", u64::from(*attempt)),
    }
}
