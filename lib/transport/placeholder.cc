namespace sesamespread::transport {}
