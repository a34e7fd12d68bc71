namespace sesamespread::coordination {}
