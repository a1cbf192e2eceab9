//! Validates a scenario after all sections were read.

use super::parse::Finding;
use super::{FaultKind, FaultSpecification, Scenario, ServiceSection};
use ledgelead_types::configuration::Partitioning;
use ledgelead_types::timing::CLOCK_DRIFT_PPM;

/// Adds a finding for each value that is out of range or contradicts another one.
pub(super) fn check(scenario: &Scenario, findings: &mut Vec<Finding>) {
    check_run(scenario, findings);
    check_deployment(scenario, findings);
    for (index, service) in scenario.services.iter().enumerate() {
        check_service(&format!("services[{index}]"), service, findings);
    }
    for (index, fault) in scenario.faults.iter().enumerate() {
        check_fault(&format!("faults[{index}]"), fault, scenario, findings);
    }
}

fn require(fulfilled: bool, place: String, message: &str, findings: &mut Vec<Finding>) {
    if !fulfilled {
        findings.push(Finding::new(place, message));
    }
}

fn check_run(scenario: &Scenario, findings: &mut Vec<Finding>) {
    let run = &scenario.run;
    require(
        run.warm_up_seconds + run.quiet_seconds < run.virtual_seconds,
        "run.virtual_seconds".to_owned(),
        "must be above warm_up_seconds plus quiet_seconds",
        findings,
    );
    require(
        run.imbalance_window_seconds > 0,
        "run.imbalance_window_seconds".to_owned(),
        "must be above 0",
        findings,
    );
    require(
        (0.0..1.0).contains(&run.diurnal_amplitude),
        "run.diurnal_amplitude".to_owned(),
        "must be at least 0 and below 1",
        findings,
    );
}

fn check_deployment(scenario: &Scenario, findings: &mut Vec<Finding>) {
    for (name, empty) in [
        ("zones", scenario.zones.is_empty()),
        ("services", scenario.services.is_empty()),
        ("tiers", scenario.tiers.is_empty()),
    ] {
        require(!empty, name.to_owned(), "must not be empty", findings);
    }
    require(
        scenario.nodes.per_zone > 0,
        "nodes.per_zone".to_owned(),
        "must be above 0",
        findings,
    );
    require(
        scenario.nodes.clock_drift_ppm <= CLOCK_DRIFT_PPM / 2,
        "nodes.clock_drift_ppm".to_owned(),
        "two clocks may not differ by more than the bound that leases assume",
        findings,
    );
    let shares = scenario.tiers.iter().map(|tier| tier.load_percent);
    require(
        (shares.sum::<f64>() - 100.0).abs() < 0.01,
        "tiers".to_owned(),
        "load_percent must add up to 100",
        findings,
    );
}

fn check_service(place: &str, service: &ServiceSection, findings: &mut Vec<Finding>) {
    for (field, value) in [
        ("instances", u64::from(service.instances)),
        ("slots", u64::from(service.slots)),
        ("connections", u64::from(service.connections)),
        ("load.keys", u64::from(service.load.keys)),
        ("load.deadline_ms", service.load.deadline_ms),
    ] {
        require(
            value > 0,
            format!("{place}.{field}"),
            "must be above 0",
            findings,
        );
    }
    for (field, value) in [
        ("service_variable_share", service.service_variable_share),
        ("load.hot_percent", service.load.hot_percent / 100.0),
        (
            "load.once_only_percent",
            service.load.once_only_percent / 100.0,
        ),
        ("load.repeat_percent", service.load.repeat_percent / 100.0),
    ] {
        require(
            (0.0..=1.0).contains(&value),
            format!("{place}.{field}"),
            "is out of range",
            findings,
        );
    }
    require(
        service.service_ms > 0.0,
        format!("{place}.service_ms"),
        "must be above 0",
        findings,
    );
    require(
        service.load.hot_keys == 0 || service.partitioning != Partitioning::None,
        format!("{place}.load.hot_keys"),
        "require a keyed service",
        findings,
    );
}

fn check_fault(
    place: &str,
    fault: &FaultSpecification,
    scenario: &Scenario,
    findings: &mut Vec<Finding>,
) {
    require(
        fault.at_seconds.is_some() != fault.per_minute.is_some(),
        place.to_owned(),
        "needs either at_seconds or per_minute",
        findings,
    );
    require(
        fault
            .at_seconds
            .is_none_or(|at| at < scenario.run.virtual_seconds as f64),
        format!("{place}.at_seconds"),
        "is after the end of the run",
        findings,
    );
    require(
        0.0 <= fault.min_seconds && fault.min_seconds <= fault.max_seconds,
        format!("{place}.max_seconds"),
        "must be at least min_seconds, which must not be negative",
        findings,
    );
    let regions = scenario.zones.iter().map(|zone| &zone.region);
    let regions = regions.collect::<std::collections::BTreeSet<_>>();
    require(
        fault.kind != FaultKind::CutRegion || regions.len() > 1,
        format!("{place}.kind"),
        "needs more than one region",
        findings,
    );
}
