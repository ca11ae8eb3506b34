//! Merging gateway lists and computing the changes between them.

use mulberry_directory::{GatewayInfo, GatewayList};
use proptest::prelude::*;

fn info(name: u8, started_ms: u64, is_active: bool) -> GatewayInfo {
    GatewayInfo {
        name: format!("gateway-{name}").into(),
        zone: "z".into(),
        incarnation: started_ms,
        started_ms,
        address: ([10, 0, 0, name], 1).into(),
        is_active,
    }
}

fn list() -> impl Strategy<Value = GatewayList> {
    let infos = proptest::collection::vec((0..6_u8, 0..4_u64, any::<bool>()), 0..12);
    infos.prop_map(|infos| {
        GatewayList::merged(
            infos
                .into_iter()
                .map(|(name, started_ms, is_active)| info(name, started_ms, is_active)),
        )
    })
}

proptest! {
    #[test]
    fn applying_the_changes_yields_the_later_list(before in list(), after in list()) {
        let mut list = before.clone();
        match before.changes_to(&after) {
            Some(changes) => list.apply(changes),
            None => prop_assert_eq!(&before, &after),
        }
        prop_assert_eq!(list, after);
    }
}

#[test]
fn merging_keeps_the_latest_start_and_prefers_inactive() {
    let merged = GatewayList::merged([
        info(1, 5, true),
        info(1, 9, true),
        info(2, 5, false),
        info(2, 5, true),
    ]);
    let known: Vec<_> = merged.infos().map(|info| (info.started_ms, info.is_active)).collect();
    assert_eq!(known, [(9, true), (5, false)]);
}
