package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * The body of a request as its parts come. A short one is one buffer that grows; a long one is a row of blocks, since
 * growing would copy and for a moment hold it twice. The parts themselves are never kept, as each may be a small slice
 * of a large buffer.
 */
public final class BodyBuffer {
    /** As much as one part that is written to a node. */
    public static final int BLOCK_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private CompositeByteBuf blocks;
    /** The last block, not in the row yet; owned here. */
    private ByteBuf last;

    public BodyBuffer(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Copies what is readable; the part stays the caller's. */
    public void add(ByteBuf part) {
        while (part.isReadable()) {
            if (last != null && last.readableBytes() == BLOCK_BYTES) {
                blocks = blocks == null ? allocator.compositeHeapBuffer(Integer.MAX_VALUE) : blocks;
                blocks.addComponent(true, last);
                last = null;
            }
            int wanted = Math.min(part.readableBytes(), BLOCK_BYTES - (last == null ? 0 : last.readableBytes()));
            last = last == null ? allocator.heapBuffer(blocks == null ? wanted : BLOCK_BYTES, BLOCK_BYTES) : last;
            last.writeBytes(part, wanted);
        }
    }

    /** All of it; whoever takes it owns it, and nothing is left here. */
    public ByteBuf take() {
        ByteBuf all;
        if (blocks == null) {
            all = last == null ? Unpooled.EMPTY_BUFFER : last;
        } else {
            all = last == null ? blocks : blocks.addComponent(true, last);
        }
        blocks = null;
        last = null;
        return all;
    }

    /** Lets go of what has come so far. */
    public void release() {
        take().release(); // the empty buffer takes no notice
    }
}
