"""HTTP on both sides: guarded servers, calls to other processes."""
