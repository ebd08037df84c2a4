package anisebend;

import anisebend.Stats.Rate;
import java.util.List;

/**
 * Detects tenants over their share: over their quota at this balancer (a token bucket of one second) and also
 * over their fraction of its requests: load is uneven between balancers, so the divided quota alone would
 * blame the tenants of a busy one. Microseconds; O(tenants) memory, O(1) a request; one thread.
 */
final class TenantShares {
    /** Factor by which a tenant's part of the requests here must exceed its share to count as over it. */
    private static final double OVER_SHARE_FACTOR = 1.25;

    private final class Usage {
        final Rate rate = new Rate(span);
        double tokens;
        long updatedAt;
    }

    private final List<Balancer.Tenant> tenants;
    /** Number of balancers that share the quotas; may change while running. */
    int balancers;

    private final Rate arrivals;
    private final Usage[] usages;
    final double span;

    /** Creates shares over {@code balancers} balancers; {@code arrivals} is the rate of all requests here. */
    TenantShares(List<Balancer.Tenant> tenants, int balancers, double span, Rate arrivals) {
        this.tenants = tenants;
        this.balancers = balancers;
        this.arrivals = arrivals;
        this.span = span;
        usages = new Usage[tenants.size()];
        for (int i = 0; i < usages.length; i++) {
            usages[i] = new Usage();
        }
    }

    /** Records a request; returns whether it exceeds its tenant's share, which unknown tenants never do. */
    boolean recordRequest(long now, int tenant) {
        if (tenant >= usages.length) {
            return false;
        }
        Balancer.Tenant t = tenants.get(tenant);
        Usage usage = usages[tenant];
        double perMicro = t.quotaPerSecond() / balancers / Stats.SECOND;
        usage.tokens = Math.min(perMicro * Stats.SECOND, usage.tokens + (now - usage.updatedAt) * perMicro);
        usage.updatedAt = now;
        usage.rate.add(now);
        if (usage.tokens >= 1) {
            usage.tokens--;
            return false;
        }
        return usage.rate.value > OVER_SHARE_FACTOR * t.share() * arrivals.value;
    }
}
