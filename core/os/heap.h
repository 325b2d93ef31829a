#pragma once

namespace lagoondeck {

/// Makes the heap return large blocks to the operating system as soon as they are freed. By default
/// it keeps more and more of them, the larger those are that were freed.
void returnFreedBlocks();

} // namespace lagoondeck
