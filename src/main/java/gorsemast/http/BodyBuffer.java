package gorsemast.http;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects the body of a request as its parts arrive. A short body is one buffer that grows; a long one is a list of
 * blocks, since growing would copy it and for a moment need twice the memory. Parts are always copied, as each may be
 * a small slice of a large buffer.
 */
public final class BodyBuffer {
    /** Size of a block, and of the parts in which bodies are written to servers. */
    public static final int BLOCK_BYTES = 64 << 10;

    private final ByteBufAllocator allocator;
    private CompositeByteBuf blocks;
    /** The last block, not in {@link #blocks} yet. */
    private ByteBuf last;

    public BodyBuffer(ByteBufAllocator allocator) {
        this.allocator = allocator;
    }

    /** Copies the readable bytes; the caller keeps ownership of the part. */
    public void add(ByteBuf part) {
        while (part.isReadable()) {
            if (last != null && last.readableBytes() == BLOCK_BYTES) {
                blocks = blocks == null ? allocator.compositeHeapBuffer(Integer.MAX_VALUE) : blocks;
                blocks.addComponent(true, last);
                last = null;
            }
            int count = Math.min(part.readableBytes(), BLOCK_BYTES - (last == null ? 0 : last.readableBytes()));
            last = last == null ? allocator.heapBuffer(blocks == null ? count : BLOCK_BYTES, BLOCK_BYTES) : last;
            last.writeBytes(part, count);
        }
    }

    /** Takes the whole body. The caller owns it; this buffer is empty afterwards. */
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

    /** Releases what has been collected. */
    public void release() {
        take().release(); // no effect on the empty buffer
    }
}
