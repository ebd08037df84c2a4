package gorsemast.processes;

/** Who dials whom, for which of its services; also a direction of bytes. */
record Way(String from, String to, String service) {
    Way back() {
        return new Way(to, from, service);
    }

    boolean between(String one, String other) {
        return from.equals(one) && to.equals(other) || from.equals(other) && to.equals(one);
    }
}
