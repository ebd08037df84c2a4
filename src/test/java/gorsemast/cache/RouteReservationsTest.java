package gorsemast.cache;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.within;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class RouteReservationsTest {
    private static final long WINDOW_MICROS = 5_000_000;
    private static final double LIMIT = 10;

    private final RouteReservations reservations = new RouteReservations(WINDOW_MICROS);

    private void request(long now, String route, int count) {
        for (int i = 0; i < count; i++) {
            reservations.recordRequest(now, route);
        }
    }

    private void grant(long now, String route, int count) {
        for (int i = 0; i < count; i++) {
            reservations.recordGranted(now, route);
        }
    }

    @BeforeEach
    void largeRouteHasTakenAll() {
        request(0, "large", 30);
        grant(0, "large", 10);
    }

    @Test
    void oneRouteLeavesNothing() {
        assertThat(reservations.reservedForOthers(0, "large", LIMIT)).isZero();
    }

    @Test
    void routeBeyondItsEntitlementLeavesWhatSmallOnesStillLack() {
        request(0, "small", 3);
        assertThat(reservations.reservedForOthers(0, "large", LIMIT)).isEqualTo(3);
        grant(0, "small", 2);
        assertThat(reservations.reservedForOthers(0, "large", LIMIT)).isEqualTo(1);
        assertThat(reservations.reservedForOthers(0, "small", LIMIT)).isZero();
    }

    @Test
    void releasedPermitsCountAsLackedAgain() {
        request(0, "small", 3);
        grant(0, "small", 3);
        reservations.recordReleased("small");
        assertThat(reservations.reservedForOthers(0, "large", LIMIT)).isEqualTo(1);
    }

    /** Both are entitled to half; who has had it competes for the rest with nothing kept back. */
    @Test
    void largeRoutesCompete() {
        request(0, "other", 30);
        assertThat(reservations.reservedForOthers(0, "large", LIMIT)).isZero();
        assertThat(reservations.reservedForOthers(0, "other", LIMIT)).isZero();
    }

    @Test
    void reservationsDecayOnceNobodyRequestsThem() {
        request(0, "small", 3);
        request(WINDOW_MICROS, "large", 30);
        grant(WINDOW_MICROS, "large", 10);
        assertThat(reservations.reservedForOthers(WINDOW_MICROS, "large", LIMIT))
                .isCloseTo(3 / Math.E, within(1e-9));
        assertThat(reservations.reservedForOthers(10 * WINDOW_MICROS, "large", LIMIT))
                .isZero();
    }

    /** Its permits have left the window: it may take new ones before it has to leave any. */
    @Test
    void routeIsEntitledAgainAfterAWindow() {
        request(0, "small", 3);
        assertThat(reservations.reservedForOthers(WINDOW_MICROS, "large", LIMIT))
                .isZero();
    }

    @Test
    void reservesNothingWhilePermitsSuffice() {
        request(0, "small", 3);
        assertThat(reservations.reservedForOthers(0, "large", 40)).isZero();
    }
}
