package anisebend;

import anisebend.Measures.Rate;
import java.util.List;

/**
 * Which tenants ask for more than their share: more than their quota at this balancer, a bucket of a second,
 * and than their part of what it gets, as balancers get uneven parts and a plain division of the quota would
 * blame a busy one's tenants. Times in microseconds; O(tenants) memory, O(1) a request; one thread.
 */
final class TenantShares {
    /** How far a tenant's part of the traffic here must exceed its fraction before it is over its share. */
    private static final double OVER = 1.25;

    private final class Use {
        final Rate rate = new Rate(span);
        double tokens;
        long last;
    }

    private final List<Balancer.Tenant> tenants;
    /** How many share the quotas; may change in service. */
    int balancers;

    private final Rate arrivals;
    private final Use[] uses;
    final double span;

    /** The tenants of a tier of so many balancers; {@code arrivals} is the rate of all requests here. */
    TenantShares(List<Balancer.Tenant> tenants, int balancers, double span, Rate arrivals) {
        this.tenants = tenants;
        this.balancers = balancers;
        this.arrivals = arrivals;
        this.span = span;
        uses = new Use[tenants.size()];
        for (int i = 0; i < uses.length; i++) {
            uses[i] = new Use();
        }
    }

    /** Takes note of a request, and says whether it is beyond its tenant's share; unknown ones never are. */
    boolean over(long now, int tenant) {
        if (tenant >= uses.length) {
            return false;
        }
        Balancer.Tenant t = tenants.get(tenant);
        Use use = uses[tenant];
        double perMicro = t.quotaPerSecond() / balancers / Measures.MICROS;
        use.tokens = Math.min(perMicro * Measures.MICROS, use.tokens + (now - use.last) * perMicro);
        use.last = now;
        use.rate.add(now);
        if (use.tokens >= 1) {
            use.tokens--;
            return false;
        }
        return use.rate.value > OVER * t.share() * arrivals.value;
    }
}
